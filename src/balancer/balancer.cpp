// Turns each event into actions, by composing the classes that make the decisions.
#include "asterdrift/balancer/balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balancer/admission_control.h"
#include "balancer/endpoint_selection.h"
#include "balancer/outcome_recorder.h"
#include "balancer/request_ledger.h"
#include "balancer/retry_policy.h"
#include "balancer/shedding_log.h"

namespace asterdrift::balancer {
namespace {

// An update has to be applied within 6 s after discovery has become reachable. This time has to suffice for a
// silent watch of 2.7 s, a poll that hangs for another 2.7 s, and the delays after both.
constexpr Seconds kMaxWatchRetryDelay = 0.3;
constexpr std::uint64_t kWatchTimerToken = 0;

// The time from which a response to the request is of no use any more.
Seconds response_deadline(const Request& event, const RequestClass& rules, Seconds clock_granularity,
                          Seconds now) {
  if (rules.late_priority_weight > 0) return now + event.time_left;
  const Seconds work = event.announced_work.value_or(0);
  const Seconds objective =
      std::min(rules.latency_objective + rules.latency_objective_per_work * work, rules.timeout);
  return now + std::min(event.time_left, objective - 2 * clock_granularity);
}

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : state_(settings, seed) {
    for (const Tenant& tenant : state_.settings.tenants) {
      admission_.emplace_back(tenant, state_.settings, state_.traffic);
    }
  }

  void handle(Seconds now, const Event& event, std::vector<Action>& actions) {
    state_.now = now;
    actions_ = &actions;
    std::visit([this](const auto& typed_event) { on(typed_event); }, event);
  }

  TenantMetrics tenant_metrics(Seconds now, std::size_t tenant) const {
    return admission_[tenant_index(tenant)].metrics(now);
  }

  EndpointMetrics endpoint_metrics(Seconds now) const {
    return state_.endpoints.metrics(
        [&](const EndpointRecord& record) { return state_.outliers.is_outlier(record, now); });
  }

 private:
  void on(const ReplicaStarted&) { watch_endpoints(); }

  void on(const Request& event) {
    if (ledger_.contains(event.id)) return;
    TenantAdmission& admission = admission_[tenant_index(event.tenant)];
    if (!admission.admit(state_.now, state_.random)) {
      reject(event.id);
      log_shedding(SheddingLog::Reason::kTenantLimit);
      return;
    }
    PendingRequest& request = add_request(event);
    if (try_start_attempt(event.id, request)) return;
    if (!state_.traffic.is_low(state_.now)) admission.record_outcome(state_.now, true, false);
    log_shedding(SheddingLog::Reason::kNoCapacity);
    send_final_response(event.id, request);
    ledger_.remove_if_complete(event.id, request);
  }

  void on(const AttemptResult& event) {
    const auto open = ledger_.find_open_attempt(event.id, event.attempt);
    if (!open) return;
    auto& [request, attempt] = *open;
    const bool is_recorded = attempt.state() == Attempt::State::kResponding;
    ledger_.end_attempt(attempt, event.outcome);
    if (!is_recorded) recorder_.record(request, attempt, event.outcome, event.elapsed);
    if (event.request_done) finish(event.id, request);
    if (!request.finished && !request.has_open_attempt()) retry_or_respond(event.id, request);
    ledger_.remove_if_complete(event.id, request);
  }

  // The latency of a streamed response is measured up to its start, since its end depends on its size and on
  // the client.
  void on(const ResponseStarted& event) {
    const auto open = ledger_.find_open_attempt(event.id, event.attempt);
    if (!open) return;
    auto& [request, attempt] = *open;
    const bool is_recorded = attempt.state() == Attempt::State::kResponding;
    request.streaming = true;
    ledger_.response_started(attempt);
    if (!is_recorded) recorder_.record(request, attempt, Outcome::kSuccess, event.elapsed);
  }

  void on(const RequestBodySent& event) {
    const auto open = ledger_.find_open_attempt(event.id, event.attempt);
    if (!open) return;
    auto& [request, attempt] = *open;
    if (!std::exchange(request.body_arriving, false)) return;
    request.deadline += state_.now - attempt.sent_at();
    if (!request.streaming) ledger_.request_sent(attempt);
  }

  void on(const RequestBodyConsumed& event) {
    if (PendingRequest* request = ledger_.find(event.id)) request->body_consumed = true;
  }

  void on(const RequestAborted& event) {
    PendingRequest* request = ledger_.find(event.id);
    if (request == nullptr) return;
    finish(event.id, *request);
    ledger_.remove_if_complete(event.id, *request);
  }

  void on(const EndpointUpdate& update) {
    if (update.form == EndpointUpdate::Form::kWatchFailed) {
      retry_watch();
      return;
    }
    concurrency_.on_endpoint_list();
    state_.endpoints.apply(update, state_.now, state_.traffic.response_count, state_.random);
    state_.subset.update(state_.settings, state_.endpoints);
  }

  void on(const TimerFired& timer) {
    if (timer.token == kWatchTimerToken) watch_endpoints();
  }

  void watch_endpoints() {
    if (state_.settings.requires_watch) actions_->push_back(WatchEndpoints{});
  }

  void retry_watch() {
    if (!state_.settings.requires_watch) return;
    const Seconds poll_within = state_.settings.poll_within;
    const Seconds max_delay =
        poll_within > 0 ? std::min(poll_within / 2, kMaxWatchRetryDelay) : kMaxWatchRetryDelay;
    const Seconds delay = max_delay * (0.5 + state_.random.unit() / 2);
    actions_->push_back(SetTimer{state_.now + delay, kWatchTimerToken});
  }

  // Adds an admitted request to the ledger.
  PendingRequest& add_request(const Request& event) {
    TrafficStatistics& traffic = state_.traffic;
    traffic.admission_rate.add(state_.now);
    PendingRequest& request = ledger_.add(event.id);
    request.tenant = tenant_index(event.tenant);
    request.body_arriving = event.body_arriving;
    request.request_class = std::min(event.request_class, state_.settings.classes.size() - 1);
    request.rules = &state_.settings.classes[request.request_class];
    const RequestClass& rules = *request.rules;
    if (std::isfinite(rules.latency_objective)) {
      traffic.objective.add(std::min(rules.latency_objective, rules.timeout), kLatencyGain);
    }
    request.deadline = response_deadline(event, rules, state_.settings.clock_granularity, state_.now);
    return request;
  }

  // Starts an attempt if an endpoint can be selected before the deadline. Returns whether it was started.
  bool try_start_attempt(const std::string& id, PendingRequest& request) {
    const std::optional<std::size_t> slot = selection_.select(request);
    if (!slot) return false;
    EndpointRecord& record = state_.endpoints[*slot];
    const Seconds timeout = retries_.attempt_timeout(request);
    if (timeout <= 0) return false;
    if (!request.attempts.empty()) retries_.record_retry(request);
    slow_start_.spend(record);
    ledger_.begin_attempt(request, *slot);
    actions_->push_back(
        SendAttempt{id, record.advertised.address, timeout, request.dedup_time_left(state_.now)});
    return true;
  }

  // Retries a request whose attempts have all ended, or gives it its final response.
  void retry_or_respond(const std::string& id, PendingRequest& request) {
    if (retries_.may_retry(request) && try_start_attempt(id, request)) return;
    send_final_response(id, request);
  }

  // Rejects the request if the client can safely retry it, and fails it otherwise.
  void send_final_response(const std::string& id, PendingRequest& request) {
    if (retries_.may_reject(request)) {
      reject(id);
    } else {
      actions_->push_back(FailRequest{id});
    }
    request.finished = true;
  }

  void reject(const std::string& id) {
    actions_->push_back(RejectRequest{id, state_.settings.max_retry_after / 2});
  }

  // Ends a request that needs no further response.
  void finish(const std::string& id, PendingRequest& request) {
    if (!request.finished) cancel_open_attempts(id, request);
    request.finished = true;
  }

  void cancel_open_attempts(const std::string& id, const PendingRequest& request) {
    if (!state_.settings.cancel_allowed || request.streaming) return;
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      if (request.attempts[i].is_open()) actions_->push_back(CancelAttempt{id, static_cast<int>(i)});
    }
  }

  void log_shedding(SheddingLog::Reason reason) {
    std::optional<LogLine> line = shedding_log_.count_rejection(reason, state_.now);
    if (line) actions_->push_back(*std::move(line));
  }

  // Maps a tenant out of range to the last index, which stands for traffic without a tenant.
  std::size_t tenant_index(std::size_t tenant) const { return std::min(tenant, admission_.size() - 1); }

  ReplicaState state_;
  std::vector<TenantAdmission> admission_;  // admission control of each tenant
  ConcurrencyLimit concurrency_{state_};
  SlowStart slow_start_{state_};
  EndpointSelection selection_{state_, concurrency_, slow_start_};
  RetryPolicy retries_{state_};
  OutcomeRecorder recorder_{state_, admission_, selection_, retries_};
  RequestLedger ledger_{state_};
  SheddingLog shedding_log_;
  std::vector<Action>* actions_ = nullptr;  // actions of the event that is being handled
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Seconds now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

TenantMetrics Balancer::tenant_metrics(Seconds now, std::size_t tenant) const {
  return impl_->tenant_metrics(now, tenant);
}

EndpointMetrics Balancer::endpoint_metrics(Seconds now) const { return impl_->endpoint_metrics(now); }

}  // namespace asterdrift::balancer
