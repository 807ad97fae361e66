#include "support/random_event_stream.h"

#include <algorithm>
#include <cmath>
#include <variant>

namespace asterdrift::balancer {
namespace {

constexpr Seconds kUnresponsiveLatency = 30;  // longer than the timeout of any attempt
constexpr Seconds kRecoveredLatency = 0.1;
constexpr std::size_t kLargeUpdateEndpoints = 40;

Settings make_settings(std::uint64_t seed) {
  Settings settings = basic_settings(make_request_class(Idempotency::kIdempotencyKey, DedupScope::kCell));
  settings.classes.push_back(make_request_class(Idempotency::kIdempotent));
  settings.classes.push_back(make_request_class(Idempotency::kIdempotencyKey, DedupScope::kZone));
  settings.classes.push_back(make_request_class(Idempotency::kIdempotencyKey, DedupScope::kAll));
  settings.classes.push_back(make_request_class(Idempotency::kNotIdempotent));
  settings.replica_count = std::vector{1, 3, 8, 40, 300}[seed % 5];
  settings.replica_index = static_cast<int>(seed * 7 % static_cast<std::uint64_t>(settings.replica_count));
  settings.tier = seed % 3 == 2 ? 1 : 0;
  settings.zone = static_cast<int>(seed % 4);
  settings.cross_zone_cost = seed % 2 == 0 ? 0.02 : 0;
  settings.tenants = {{40.0}, {3.0}, {}};
  settings.requires_watch = seed % 7 == 3;
  settings.slow_start_capacity = 0.2;
  settings.slow_start_duration = 8;
  return settings;
}

bool is_ready(EndpointState state) { return state == EndpointState::kReady; }
bool is_not_removed(EndpointState state) { return state != EndpointState::kRemoved; }

}  // namespace

RandomEventStream::RandomEventStream(std::uint64_t seed, std::size_t endpoints)
    : random_(seed * 2654435761 + 1), replica_(make_settings(seed), seed), endpoints_(endpoints) {
  for (SimulatedEndpoint& endpoint : endpoints_) replace_endpoint(endpoint);
  handle(ReplicaStarted{});
  handle(snapshot_matching(is_ready));
}

void RandomEventStream::run(int steps) {
  for (int i = 0; i < steps; ++i) run_step();
}

void RandomEventStream::run_step() {
  now_ += 0.02 * random_.unit();
  end_due_attempts();
  const std::size_t draw = random_.below(200);
  if (draw < 150) {
    send_request();
  } else if (draw < 155) {
    const std::size_t age = random_.below(std::min<std::size_t>(next_request_id_, 20));
    handle(RequestAborted{std::to_string(next_request_id_ - 1 - age)});
  } else if (draw < 158) {
    change_random_latencies();
  } else if (draw < 168) {
    update_endpoints();
  }
  if (random_.below(50) == 0) record_endpoint_metrics();
}

void RandomEventStream::end_due_attempts() {
  while (!open_attempts_.empty() && open_attempts_.begin()->first <= now_) {
    const OpenAttempt attempt = open_attempts_.begin()->second;
    open_attempts_.erase(open_attempts_.begin());
    handle(AttemptResult{attempt.request_id, attempt.number, attempt.outcome, now_ - attempt.sent_at,
                         attempt.outcome == Outcome::kSuccess});
  }
}

void RandomEventStream::send_request() {
  Request request;
  request.id = std::to_string(next_request_id_++);
  request.tenant = random_.below(3);
  request.request_class = random_.below(5);
  request.time_left = 0.5 + 5 * random_.unit();
  request.body_arriving = random_.below(20) == 0;
  handle(request);
  if (request.body_arriving) handle(RequestBodySent{request.id, 0});
}

// Makes about a third of the endpoints unresponsive or fast again: the beginning or the
// end of a slowdown that many endpoints share.
void RandomEventStream::change_random_latencies() {
  for (SimulatedEndpoint& endpoint : endpoints_) {
    if (random_.below(3) > 0) continue;
    endpoint.mean_latency = random_.below(2) == 0 ? kUnresponsiveLatency : kRecoveredLatency;
  }
}

void RandomEventStream::record_endpoint_metrics() {
  const EndpointMetrics metrics = replica_.balancer.endpoint_metrics(now_);
  digest_.add(metrics.listed);
  digest_.add(metrics.unavailable);
}

void RandomEventStream::replace_endpoint(SimulatedEndpoint& endpoint) {
  Endpoint& advertised = endpoint.advertised;
  const std::string network = "10.0." + std::to_string(random_.below(4));
  advertised.address = network + "." + std::to_string(next_address_number_++) + ":8080";
  advertised.cell = static_cast<int>(random_.below(6));
  advertised.zone = advertised.cell / 2;
  advertised.weight = 0.3 + random_.unit();
  advertised.started_at = random_.below(2) == 0 ? 0 : now_;
  advertised.state = random_.below(4) > 0 ? EndpointState::kReady : EndpointState::kRemoved;
  endpoint.mean_latency = 0.05 + random_.unit() / 4;
  endpoint.failure_probability = random_.below(12) == 0 ? 0.7 : 0.01;
}

// Sends an incremental update as a rule, and sometimes a snapshot or a watch failure.
void RandomEventStream::update_endpoints() {
  EndpointUpdate update;
  update.form = EndpointUpdate::Form::kIncremental;
  const std::size_t changes = random_.below(30) == 0 ? kLargeUpdateEndpoints : 1 + random_.below(3);
  for (std::size_t i = 0; i < changes; ++i) {
    SimulatedEndpoint& endpoint = endpoints_[random_.below(endpoints_.size())];
    apply_random_change(endpoint, update);
    update.endpoints.push_back(endpoint.advertised);
    if (random_.below(4) == 0) update.endpoints.push_back(endpoint.advertised);
  }
  if (random_.below(6) == 0) {
    update = snapshot_matching(is_not_removed);
  } else if (random_.below(20) == 0) {
    update = {EndpointUpdate::Form::kWatchFailed, {}};
  }
  handle(update);
}

// Drains, removes, restarts, moves or replaces an endpoint. A replaced endpoint is removed by `update`.
void RandomEventStream::apply_random_change(SimulatedEndpoint& endpoint, EndpointUpdate& update) {
  Endpoint& advertised = endpoint.advertised;
  const std::size_t draw = random_.below(8);
  if (draw < 2) {
    advertised.state = EndpointState::kDraining;
  } else if (draw < 4) {
    advertised.state = EndpointState::kRemoved;
  } else if (draw < 6) {
    advertised.state = EndpointState::kReady;
    if (random_.below(2) == 0) advertised.started_at = now_;
  } else if (draw < 7) {
    advertised.weight = 0.3 + random_.unit();
    advertised.zone = static_cast<int>(random_.below(4));
  } else {
    update.endpoints.push_back(advertised);
    update.endpoints.back().state = EndpointState::kRemoved;
    replace_endpoint(endpoint);
  }
}

EndpointUpdate RandomEventStream::snapshot_matching(bool (*matches)(EndpointState)) const {
  EndpointUpdate snapshot;
  for (const SimulatedEndpoint& endpoint : endpoints_) {
    if (matches(endpoint.advertised.state)) snapshot.endpoints.push_back(endpoint.advertised);
  }
  return snapshot;
}

void RandomEventStream::handle(const Event& event) {
  for (const Action& action : replica_.handle(now_, event)) {
    digest_.add(action.index());
    std::visit([this](const auto& typed) { record(typed); }, action);
  }
}

void RandomEventStream::record(const SendAttempt& send) {
  digest_.add(send.id);
  digest_.add(send.endpoint);
  digest_.add(send.timeout);
  digest_.add(std::isfinite(send.write_within) ? send.write_within : -1);
  ++attempts_;
  OpenAttempt attempt;
  attempt.request_id = send.id;
  attempt.number = attempt_counts_[send.id]++;
  attempt.sent_at = now_;
  if (attempt.number > 0) ++retries_;
  const auto endpoint = std::find_if(
      endpoints_.begin(), endpoints_.end(),
      [&](const SimulatedEndpoint& candidate) { return candidate.advertised.address == send.endpoint; });
  const bool known = endpoint != endpoints_.end();
  Seconds elapsed = known ? endpoint->mean_latency * (0.5 + random_.unit()) : 0.01;
  if (!known || random_.unit() < endpoint->failure_probability) {
    constexpr Outcome kFailures[] = {Outcome::kServerError,   Outcome::kRejected, Outcome::kConnectionReset,
                                     Outcome::kConnectFailed, Outcome::kNotSent,  Outcome::kUnknown};
    attempt.outcome = kFailures[random_.below(6)];
    elapsed = 0.02;
  } else if (elapsed > send.timeout) {
    elapsed = send.timeout;
    attempt.outcome = Outcome::kTimedOut;
  }
  open_attempts_.emplace(now_ + elapsed, attempt);
}

void RandomEventStream::record(const CancelAttempt& cancel) {
  digest_.add(cancel.id);
  for (auto& [end_time, attempt] : open_attempts_) {
    if (attempt.request_id == cancel.id && attempt.number == cancel.attempt)
      attempt.outcome = Outcome::kCancelled;
  }
}

void RandomEventStream::record(const SetTimer& timer) {
  digest_.add(timer.at);
  handle(TimerFired{timer.token});
}

}  // namespace asterdrift::balancer
