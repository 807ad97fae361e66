#include "support/simulated_fleet/simulated_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

constexpr double kOverQuotaPriorityWeight = 0.1;
constexpr Seconds kClockGranularity = 0.005;
constexpr int kMaxAttempts = 5;
constexpr Seconds kMaxRetryAfter = 2;

constexpr int kServersPerCell = 6;
// A server's actual rate relative to the rate that follows from its weight.
constexpr double kMinRelativeRate = 0.85;
constexpr double kRelativeRateSpread = 0.3;

constexpr Seconds kMinNetworkDelay = 0.0005;
constexpr Seconds kNetworkDelaySpread = 0.004;

constexpr Seconds kTimeFromCrashToStart = 1.2;
constexpr Seconds kTimeFromHalvingToStart = 0.5;  // ReplicaSetChange::kHalved
constexpr Seconds kTimeFromStartToReplicaChange = 0.05;
constexpr Seconds kReplicaChangeDuration = 3;

std::vector<RequestClass> request_classes() {
  RequestClass keyed = make_request_class(Idempotency::kIdempotencyKey);
  keyed.latency_objective = 0.86;
  keyed.timeout = 2.2;
  keyed.dedup_window = 2.5;
  RequestClass non_idempotent = make_request_class(Idempotency::kNotIdempotent);
  non_idempotent.latency_objective = 1.9;
  non_idempotent.timeout = 4.7;
  return {keyed, non_idempotent};
}

std::size_t server_index(const std::string& address) {
  return static_cast<std::size_t>(std::stoi(address.substr(1)));
}

}  // namespace

double FleetCounts::slow_start_utilization() const {
  return slow_start.attempts_possible > 0 ? slow_start.attempts_received / slow_start.attempts_possible : 0;
}

SimulatedFleet::SimulatedFleet(const FleetScenario& scenario)
    : scenario_(scenario), classes_(request_classes()), random_(scenario.seed * 7919 + 17) {
  add_servers();
  add_replicas();
  traffic_ = std::make_unique<ClientTraffic>(scenario_, classes_, capacity_, queue_, random_,
                                             [this](const ClientRequest& client) { send_request(client); });
}

FleetCounts SimulatedFleet::run() {
  for (std::size_t replica = 0; replica < replicas_.size(); ++replica) start_replica(replica);
  const auto starting = static_cast<std::size_t>(scenario_.starting_servers);
  for (std::size_t server = 0; server < starting; ++server) schedule_start(server);
  schedule_replica_set_change();
  traffic_->schedule_next_arrival();
  queue_.run_until(scenario_.end_at);
  counts_.requests = traffic_->requests();
  for (std::size_t server = 0; server < starting; ++server)
    measure_slow_start(servers_[server], scenario_, counts_.slow_start);
  return counts_;
}

void SimulatedFleet::add_servers() {
  for (int i = 0; i < scenario_.servers; ++i) {
    const int slots = i % 2 == 0 ? 2 : 1;
    Endpoint endpoint = make_endpoint(i, i % 2, i / kServersPerCell);
    endpoint.weight = slots;
    const double relative_rate = kMinRelativeRate + kRelativeRateSpread * random_.unit();
    const double rate = scenario_.rate_per_weight * endpoint.weight * relative_rate;
    capacity_ += rate;
    servers_.emplace_back(
        scenario_, endpoint, slots, rate, queue_,
        [this](const FleetAttempt& attempt, Outcome outcome) { respond(attempt, outcome); });
  }
  if (!scenario_.restart_after_crash) {
    for (int i = 0; i < scenario_.starting_servers; ++i) servers_[static_cast<std::size_t>(i)].stop();
  }
  const int running_throughout = scenario_.servers - scenario_.starting_servers;
  const auto faulty = std::lround(scenario_.faulty_fraction * running_throughout);
  for (auto i = servers_.size() - static_cast<std::size_t>(faulty); i < servers_.size(); ++i)
    servers_[i].set_fault(scenario_.fault);
}

Settings SimulatedFleet::replica_settings() const {
  const double quotas = scenario_.quota_fraction;
  Settings settings;
  settings.classes = classes_;
  settings.replica_count = scenario_.replicas;
  settings.tier = scenario_.tier;
  settings.clock_granularity = kClockGranularity;
  settings.tenants = {{ClientTraffic::kFirstTenantShare * quotas * capacity_},
                      {ClientTraffic::kSecondTenantShare * quotas * capacity_}};
  settings.over_quota_priority_weight = kOverQuotaPriorityWeight;
  settings.max_attempts = kMaxAttempts;
  settings.hedging_allowed = true;
  settings.cancel_allowed = true;
  settings.max_retry_after = kMaxRetryAfter;
  settings.slow_start_capacity = scenario_.slow_start_capacity;
  settings.slow_start_duration = scenario_.slow_start_duration;
  settings.overload_multiple = scenario_.overload_multiple;
  settings.overload_window = scenario_.overload_window;
  return settings;
}

void SimulatedFleet::add_replicas() {
  Settings settings = replica_settings();
  for (int i = 0; i < scenario_.replicas; ++i) {
    settings.replica_index = i;
    add_replica(settings);
  }
}

void SimulatedFleet::add_replica(const Settings& settings) {
  Replica replica;
  replica.settings = settings;
  replica.balancer = std::make_unique<Balancer>(settings, random_.next());
  replica.notified.resize(servers_.size());
  replicas_.push_back(std::move(replica));
  running_replicas_.push_back(replicas_.size() - 1);
}

void SimulatedFleet::start_replica(std::size_t replica) {
  handle(replica, ReplicaStarted{});
  EndpointUpdate snapshot;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (!servers_[i].running()) continue;
    snapshot.endpoints.push_back(servers_[i].endpoint());
    replicas_[replica].notified[i] = servers_[i].started_at().has_value();
  }
  handle(replica, snapshot);
}

void SimulatedFleet::stop_replica(std::size_t replica) {
  replicas_[replica].running = false;
  running_replicas_.erase(std::find(running_replicas_.begin(), running_replicas_.end(), replica));
}

void SimulatedFleet::schedule_replica_set_change() {
  const std::size_t count = replicas_.size();
  const ReplicaSetChange change = scenario_.replica_set_change;
  if (change == ReplicaSetChange::kHalved) {
    queue_.schedule(scenario_.start_at - kTimeFromHalvingToStart, [this, count] {
      for (std::size_t replica = 0; replica < count; replica += 2) stop_replica(replica);
    });
  }
  if (change != ReplicaSetChange::kDoubled && change != ReplicaSetChange::kReplaced) return;
  for (std::size_t replica = 0; replica < count; ++replica) {
    const Seconds delay = kReplicaChangeDuration * static_cast<double>(replica) / static_cast<double>(count);
    queue_.schedule(scenario_.start_at + kTimeFromStartToReplicaChange + delay, [this, replica, change] {
      add_replica(Settings(replicas_[replica].settings));
      start_replica(replicas_.size() - 1);
      if (change == ReplicaSetChange::kReplaced) stop_replica(replica);
    });
  }
}

void SimulatedFleet::schedule_start(std::size_t server) {
  if (scenario_.restart_after_crash) {
    queue_.schedule(scenario_.start_at - kTimeFromCrashToStart, [this, server] { servers_[server].crash(); });
  }
  queue_.schedule(scenario_.start_at, [this, server] { start_server(server); });
}

void SimulatedFleet::start_server(std::size_t server) {
  servers_[server].start();
  for (std::size_t replica = 0; replica < replicas_.size(); ++replica) {
    const Seconds earliest = queue_.now() + scenario_.min_notification_delay;
    queue_.schedule(earliest + scenario_.notification_spread * random_.unit(),
                    [this, replica, server] { notify_of_start(replica, server); });
  }
}

void SimulatedFleet::notify_of_start(std::size_t replica, std::size_t server) {
  if (!replicas_[replica].running || replicas_[replica].notified[server]) return;
  replicas_[replica].notified[server] = true;
  handle(replica, EndpointUpdate{EndpointUpdate::Form::kIncremental, {servers_[server].endpoint()}});
}

void SimulatedFleet::send_request(const ClientRequest& client) {
  const auto running = static_cast<double>(running_replicas_.size());
  const std::size_t replica = running_replicas_[static_cast<std::size_t>(random_.unit() * running)];
  Request request;
  request.id = std::to_string(client.request_class) + "-" + std::to_string(++last_request_number_);
  request.tenant = client.tenant;
  request.request_class = client.request_class;
  request.time_left = client.deadline - queue_.now();
  request.is_client_retry = client.tries > 0;
  PendingRequest& pending = replicas_[replica].requests[request.id];
  pending.client = client;
  ++pending.client.tries;
  queue_.schedule(client.deadline, [this, replica, id = request.id] { abort_request(replica, id); });
  handle(replica, request);
}

void SimulatedFleet::abort_request(std::size_t replica, const std::string& id) {
  replicas_[replica].requests.at(id).finished = true;
  if (replicas_[replica].running) handle(replica, RequestAborted{id});
}

void SimulatedFleet::finish_request(std::size_t replica, const std::string& id, Seconds retry_after) {
  PendingRequest& request = replicas_[replica].requests.at(id);
  if (request.finished) return;
  request.finished = true;
  traffic_->schedule_retry(request.client, retry_after);
}

void SimulatedFleet::handle(std::size_t replica, const Event& event) {
  std::vector<Action> actions;
  replicas_[replica].balancer->handle(queue_.now(), event, actions);
  for (const Action& action : actions) execute(replica, action);
}

void SimulatedFleet::execute(std::size_t replica, const Action& action) {
  if (const auto* send = std::get_if<SendAttempt>(&action)) send_attempt(replica, *send);
  if (const auto* reject = std::get_if<RejectRequest>(&action)) {
    ++counts_.rejected;
    finish_request(replica, reject->id, reject->retry_after);
  }
  if (const auto* fail = std::get_if<FailRequest>(&action)) {
    ++counts_.failed;
    finish_request(replica, fail->id, 0);
  }
  if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    const FleetAttempt attempt{replica, cancel->id, cancel->attempt, 0, queue_.now()};
    queue_.schedule(queue_.now(), [this, attempt] { end_attempt(attempt, Outcome::kCancelled); });
  }
}

Seconds SimulatedFleet::message_arrival_time() {
  return queue_.now() + kMinNetworkDelay + kNetworkDelaySpread * random_.unit();
}

void SimulatedFleet::send_attempt(std::size_t replica, const SendAttempt& send) {
  ++counts_.attempts;
  PendingRequest& request = replicas_[replica].requests.at(send.id);
  const int number = static_cast<int>(request.attempt_ended.size());
  request.attempt_ended.push_back(false);
  const FleetAttempt attempt{replica, send.id, number, request.client.work, queue_.now()};
  const std::size_t server = server_index(send.endpoint);
  queue_.schedule(message_arrival_time(), [this, server, attempt] {
    servers_[server].receive(attempt, replicas_[attempt.replica].notified[server]);
  });
  queue_.schedule(queue_.now() + send.timeout, [this, attempt] { end_attempt(attempt, Outcome::kTimedOut); });
}

void SimulatedFleet::respond(const FleetAttempt& attempt, Outcome outcome) {
  queue_.schedule(message_arrival_time(), [this, attempt, outcome] { end_attempt(attempt, outcome); });
}

void SimulatedFleet::end_attempt(const FleetAttempt& attempt, Outcome outcome) {
  Replica& replica = replicas_[attempt.replica];
  if (!replica.running) return;
  PendingRequest& request = replica.requests.at(attempt.request_id);
  const auto number = static_cast<std::size_t>(attempt.number);
  if (number >= request.attempt_ended.size() || request.attempt_ended[number]) return;
  request.attempt_ended[number] = true;
  if (outcome == Outcome::kSuccess) record_success(request);
  handle(attempt.replica, AttemptResult{attempt.request_id, attempt.number, outcome,
                                        queue_.now() - attempt.sent_at, request.finished});
}

void SimulatedFleet::record_success(PendingRequest& request) {
  if (request.finished) return;
  request.finished = true;
  ++counts_.succeeded;
  const RequestClass& request_class = classes_[request.client.request_class];
  const Seconds objective_at =
      request.client.deadline - (request_class.timeout - request_class.latency_objective);
  if (queue_.now() <= objective_at) ++counts_.within_objective;
}

}  // namespace asterdrift::balancer
