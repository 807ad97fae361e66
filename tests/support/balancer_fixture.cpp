#include "support/balancer_fixture.h"

namespace asterdrift::balancer {

RequestClass make_request_class(Idempotency idempotency, DedupScope scope) {
  RequestClass request_class;
  request_class.latency_objective = 2;
  request_class.timeout = 6;
  request_class.idempotency = idempotency;
  request_class.dedup_scope = scope;
  request_class.dedup_window = 4;
  return request_class;
}

Settings basic_settings(const RequestClass& request_class) {
  Settings settings;
  settings.classes = {request_class};
  settings.max_attempts = 4;
  settings.cancel_allowed = true;
  settings.max_retry_after = 2;
  return settings;
}

Settings settings_with_large_quota() {
  Settings settings = basic_settings();
  settings.tenants = {{1000.0}};
  return settings;
}

Endpoint make_endpoint(int number, int zone, int cell) {
  Endpoint endpoint;
  endpoint.address = "s" + std::to_string(number);
  endpoint.zone = zone;
  endpoint.cell = cell;
  return endpoint;
}

EndpointUpdate make_snapshot(int count) {
  EndpointUpdate snapshot;
  for (int i = 0; i < count; ++i) snapshot.endpoints.push_back(make_endpoint(i));
  return snapshot;
}

EndpointUpdate make_update(const Endpoint& endpoint, EndpointState state) {
  EndpointUpdate update{EndpointUpdate::Form::kIncremental, {endpoint}};
  update.endpoints[0].state = state;
  return update;
}

EndpointUpdate make_watch_failure() { return {EndpointUpdate::Form::kWatchFailed, {}}; }

std::size_t count_final_responses(const std::vector<Action>& actions) {
  return actions_of_type<RejectRequest>(actions).size() + actions_of_type<FailRequest>(actions).size();
}

std::vector<Action> TestReplica::handle(Seconds time, const Event& event) {
  now = time;
  std::vector<Action> actions;
  balancer.handle(now, event, actions);
  return actions;
}

std::vector<Action> TestReplica::request(const std::string& id, std::size_t tenant,
                                         std::size_t request_class) {
  Request request;
  request.id = id;
  request.tenant = tenant;
  request.request_class = request_class;
  request.time_left = 6;
  return handle(now, request);
}

std::vector<Action> TestReplica::end_attempt(const std::string& id, Outcome outcome, int attempt,
                                             Seconds elapsed) {
  return handle(now, AttemptResult{id, attempt, outcome, elapsed, outcome == Outcome::kSuccess});
}

}  // namespace asterdrift::balancer
