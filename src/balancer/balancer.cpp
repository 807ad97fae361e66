// Composes the decisions: turns events into actions, and records what the events tell.
#include "asterdrift/balancer/balancer.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "balancer/admission_control.h"
#include "balancer/endpoint_selection.h"
#include "balancer/retry_policy.h"

namespace asterdrift::balancer {
// Pause before watching again. An update counts as notified 6 s after discovery could be reached: a silence
// of 2.7 s, a call that hangs as long and both pauses must fit. A shorter one loads a discovery in trouble.
constexpr double kWatchRetryDelay = 0.3;  // s
constexpr std::uint64_t kWatchTimer = 0;
constexpr double kLogPeriod = 5;            // s; least time between two log lines of a kind
constexpr double kOverloadedLatency = 0.6;  // of the objective; queues show before it is missed
constexpr double kFailedLatencyFactor = 8;  // x the tier's latency; an attempt without a response counts so

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : state_(settings, seed) {
    for (const Tenant& t : state_.settings.tenants)
      admission_.emplace_back(t, state_.settings, state_.traffic);
  }

  void handle(double now, const Event& event, std::vector<Action>& actions) {
    state_.now = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  TenantView tenant(double now, std::size_t tenant) const {
    return admission_[tenant_index(tenant)].view(now);
  }

  EndpointSetView endpoints(double now) const {
    return state_.endpoints.view([&](const EndpointRecord& r) { return state_.outliers.is_outlier(r, now); });
  }

 private:
  void on(const Started&) {
    if (state_.settings.requires_watch) actions_->push_back(WatchEndpoints{});
  }

  void on(const Request& event) {
    if (requests_.contains(event.id)) return;
    const std::size_t tenant = tenant_index(event.tenant);
    if (!admission_[tenant].admit(state_.now, state_.random)) {
      actions_->push_back(RejectRequest{event.id, suggested_retry_after()});
      log_shedding(over_limit_);
      return;
    }
    state_.traffic.admission_rate.add(state_.now);
    PendingRequest& request = requests_[event.id];
    request.tenant = tenant;
    request.body_arriving = event.body_arriving;
    request.request_class = std::min(event.request_class, state_.settings.classes.size() - 1);
    request.rules = &state_.settings.classes[request.request_class];
    request.deadline = deadline(event, *request.rules);
    if (send(event.id, request)) return;
    if (!state_.traffic.is_low(state_.now)) admission_[tenant].record_end(state_.now, true, false);
    log_shedding(without_capacity_);
    answer_unserved(event.id, request);
    requests_.erase(event.id);
  }

  // When the response becomes worthless.
  double deadline(const Request& event, const RequestClass& c) {
    if (std::isfinite(c.latency_objective))
      state_.traffic.objective.add(std::min(c.latency_objective, c.timeout), kLatencyGain);
    if (c.late_priority_weight > 0) return state_.now + event.time_left;
    const double work = event.announced_work.value_or(0);
    const double objective = std::min(c.latency_objective + c.latency_objective_per_work * work, c.timeout);
    return state_.now + std::min(event.time_left, objective - 2 * state_.settings.clock_granularity);
  }

  void on(const AttemptResult& event) {
    const auto [request, attempt] = find_open(event.id, event.attempt);
    if (attempt == nullptr) return;
    end_in_flight(*attempt);
    record(*request, *attempt, event.outcome, event.elapsed);
    attempt->end(event.outcome);
    if (event.request_done && !request->finished) {
      request->finished = true;
      cancel_open(event.id, *request);
    }
    if (!request->finished && !request->any_open()) {
      const bool retried = retries_.may_retry(*request) && send(event.id, *request);
      if (!retried) answer_unserved(event.id, *request);
    }
    if (request->finished && !request->any_open()) requests_.erase(event.id);
  }

  void on(const ResponseStarted& event) {
    const auto [request, attempt] = find_open(event.id, event.attempt);
    if (attempt == nullptr) return;
    request->streaming = true;
    // Latency counts up to the first byte: a large response's end tells of its size and of the client.
    end_in_flight(*attempt);
    record(*request, *attempt, Outcome::kSuccess, event.elapsed);
    attempt->response_started();
  }

  void on(const RequestBodySent& event) {
    const auto [request, attempt] = find_open(event.id, event.attempt);
    if (attempt == nullptr || !std::exchange(request->body_arriving, false)) return;
    request->deadline += state_.now - attempt->sent_at();
    if (!request->streaming) begin_in_flight(*attempt);
  }

  void on(const RequestBodyConsumed& event) {
    const auto it = requests_.find(event.id);
    if (it != requests_.end()) it->second.body_consumed = true;
  }

  void on(const RequestAborted& event) {
    const auto it = requests_.find(event.id);
    if (it == requests_.end()) return;
    if (!it->second.finished) cancel_open(event.id, it->second);
    it->second.finished = true;
    if (!it->second.any_open()) requests_.erase(it);
  }

  void on(const EndpointUpdate& update) {
    if (update.form == EndpointUpdate::Form::kWatchFailed) {
      if (!state_.settings.requires_watch) return;
      const double within = state_.settings.poll_within;
      const double most = within > 0 ? std::min(within / 2, kWatchRetryDelay) : kWatchRetryDelay;
      actions_->push_back(SetTimer{state_.now + most * (0.5 + state_.random.unit() / 2), kWatchTimer});
      return;
    }
    concurrency_.on_endpoint_list();
    state_.endpoints.apply(update, state_.now, state_.traffic.response_count, state_.random);
    state_.subset.update(state_.settings, state_.endpoints);
  }

  void on(const TimerFired& timer) {
    if (timer.token == kWatchTimer && state_.settings.requires_watch) actions_->push_back(WatchEndpoints{});
  }

  bool send(const std::string& id, PendingRequest& request) {
    const std::optional<std::size_t> slot = selection_.select(request);
    if (!slot) return false;
    EndpointRecord& record = state_.endpoints[*slot];
    const double timeout = retries_.attempt_timeout(request);
    if (timeout <= 0) return false;
    if (!request.attempts.empty()) retries_.spend(request);
    slow_start_.spend(record);
    request.attempts.emplace_back(*slot, record, state_.now);
    if (!request.body_arriving) begin_in_flight(request.attempts.back());
    actions_->push_back(
        SendAttempt{id, record.advertised.address, timeout, request.dedup_time_left(state_.now)});
    return true;
  }

  void answer_unserved(const std::string& id, PendingRequest& request) {
    const bool reject = retries_.may_reject(request);
    actions_->push_back(reject ? Action{RejectRequest{id, suggested_retry_after()}} : FailRequest{id});
    request.finished = true;
  }

  void cancel_open(const std::string& id, const PendingRequest& request) {
    if (!state_.settings.cancel_allowed || request.streaming) return;
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      if (request.attempts[i].is_open()) actions_->push_back(CancelAttempt{id, static_cast<int>(i)});
    }
  }

  // Counts a rejection; one line for all of a period.
  void log_shedding(int& count) {
    if (over_limit_ + without_capacity_ == 0) next_log_at_ = state_.now + kLogPeriod;
    if (++count; state_.now < next_log_at_) return;
    actions_->push_back(LogLine{"load shed: " + std::to_string(over_limit_) + " over their tenant's limit, " +
                                std::to_string(without_capacity_) + " without an endpoint with capacity"});
    over_limit_ = without_capacity_ = 0;
  }

  // The attempt that an event names, if it has not ended, and its request.
  std::pair<PendingRequest*, Attempt*> find_open(const std::string& id, int number) {
    const auto it = requests_.find(id);
    const auto index = static_cast<std::size_t>(number);  // below 0 is past the end too
    if (it == requests_.end() || index >= it->second.attempts.size()) return {};
    Attempt& attempt = it->second.attempts[index];
    return attempt.is_open() ? std::pair(&it->second, &attempt) : std::pair<PendingRequest*, Attempt*>();
  }

  // An endpoint has the whole request. Counted while their bodies arrive, a few slow clients would use up the
  // tier's capacity.
  void begin_in_flight(Attempt& attempt) {
    EndpointRecord& record = state_.endpoints[attempt.slot()];
    if (record.hash != attempt.endpoint_hash())
      return;  // it was removed meanwhile, and its slot is another's
    attempt.request_sent(state_.now);
    record.in_flight += 1;
    record.sent_at_sum += state_.now;
    state_.endpoints.track(attempt.slot(), state_.now);
    state_.traffic.in_flight.change(state_.now, 1);
  }

  // The endpoint has responded, or nobody waits any more.
  void end_in_flight(Attempt& attempt) {
    state_.endpoints.track(attempt.slot(), state_.now);
    if (attempt.state() != Attempt::State::kInFlight) return;
    EndpointRecord& record = state_.endpoints[attempt.slot()];
    record.in_flight -= 1;
    record.sent_at_sum -= attempt.sent_at();
    state_.traffic.in_flight.change(state_.now, -1);
  }

  // Records, once, what an attempt's end tells of its endpoint, of the tier and of its tenant's limit.
  void record(const PendingRequest& request, const Attempt& attempt, Outcome outcome, double elapsed) {
    const EndpointRecord& record = state_.endpoints[attempt.slot()];
    if (attempt.state() == Attempt::State::kResponding || record.hash != attempt.endpoint_hash()) return;
    const bool was_healthy = !state_.outliers.is_outlier(record, state_.now);
    if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) return;
    const double latency = record_latency(attempt.slot(), request, outcome, elapsed);
    // Errors and broken connections tell nothing of the capacity behind a limit.
    const bool broken = outcome == Outcome::kConnectionReset || outcome == Outcome::kUnknown;
    if (broken || outcome == Outcome::kServerError) return;
    const bool success = outcome == Outcome::kSuccess;
    const bool overloaded = !success || latency > kOverloadedLatency;
    if (overloaded && !was_healthy) return;  // one outlier is no reason to lower a limit
    admission_[request.tenant].record_end(state_.now, overloaded, success && latency <= 1);
  }

  // The latency as a fraction of the objective.
  double record_latency(std::size_t slot, const PendingRequest& request, Outcome outcome, double elapsed) {
    EndpointRecord& record = state_.endpoints[slot];
    TrafficStatistics& traffic = state_.traffic;
    const double now = state_.now;
    const double objective = request.rules->latency_objective;
    const double latency = objective > 0 ? elapsed / objective : 0;
    const bool success = outcome == Outcome::kSuccess;
    if (success) {
      retries_.earn();
      record.response_rate.add(now);
      traffic.response_rate.add(now);
      ++traffic.response_count;
      traffic.idle_latency.add(now, latency);
    }
    if (success || outcome == Outcome::kTimedOut) {
      retries_.record_latency(request.request_class, elapsed);
      traffic.latency.add(latency, kLatencyGain);
    }
    if (outcome == Outcome::kRejected) return latency;
    const double counted = success ? latency : std::max(latency, kFailedLatencyFactor * traffic.latency.mean);
    record.latency.add(now, counted);
    selection_.record_latency(record, counted);
    return latency;
  }

  std::size_t tenant_index(std::size_t tenant) const { return std::min(tenant, admission_.size() - 1); }
  double suggested_retry_after() const { return state_.settings.max_retry_after / 2; }

  ReplicaState state_;
  std::vector<TenantAdmission> admission_;  // by tenant
  ConcurrencyLimit concurrency_{state_};
  SlowStart slow_start_{state_};
  EndpointSelection selection_{state_, concurrency_, slow_start_};
  RetryPolicy retries_{state_};
  std::unordered_map<std::string, PendingRequest> requests_;  // never iterated: their order is not stable
  std::vector<Action>* actions_ = nullptr;
  int over_limit_ = 0, without_capacity_ = 0;  // rejected since the last log line
  double next_log_at_ = kInfinity;
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(double now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

TenantView Balancer::tenant(double now, std::size_t tenant) const { return impl_->tenant(now, tenant); }

EndpointSetView Balancer::endpoints(double now) const { return impl_->endpoints(now); }

}  // namespace asterdrift::balancer
