// Settings, endpoints and a replica for tests of the decision module.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "asterdrift/balancer/balancer.h"

namespace asterdrift::balancer {

// With a latency objective of 2 s, a timeout of 6 s and a deduplication window of 4 s.
RequestClass make_request_class(Idempotency idempotency, DedupScope scope = DedupScope::kCell);

// One class, no tenants, four attempts for a request.
Settings basic_settings(const RequestClass& request_class = make_request_class(Idempotency::kIdempotent));

// The same with a tenant whose quota no test exhausts: its rate limit denies nothing.
Settings settings_with_large_quota();

// A ready endpoint with the address "s" and its number.
Endpoint make_endpoint(int number, int zone = 0, int cell = 0);

// A snapshot of the endpoints 0 to count - 1.
EndpointUpdate make_snapshot(int count);

// An incremental update of one endpoint.
EndpointUpdate make_update(const Endpoint& endpoint, EndpointState state = EndpointState::kReady);

// A failed poll or a broken watch.
EndpointUpdate make_watch_failure();

// What may happen when a request is executed more than once.
struct IdempotencyKind {
  Idempotency idempotency;
  DedupScope scope;
};

// All outcomes but success.
constexpr Outcome kFailureOutcomes[] = {
    Outcome::kServerError,     Outcome::kRejected,  Outcome::kTimedOut, Outcome::kConnectFailed,
    Outcome::kConnectionReset, Outcome::kCancelled, Outcome::kNotSent,  Outcome::kUnknown};

// Rejections and failures.
std::size_t count_final_responses(const std::vector<Action>& actions);

// A balancer with its clock; each event returns the actions that it causes.
class TestReplica {
 public:
  explicit TestReplica(const Settings& settings, std::uint64_t seed = 1) : balancer(settings, seed) {}

  // Advances the clock to `time`.
  std::vector<Action> handle(double time, const Event& event);

  // The rest happens at the present time. A request has 6 s left.
  std::vector<Action> request(const std::string& id, std::size_t tenant = 0, std::size_t request_class = 0);
  std::vector<Action> end_attempt(const std::string& id, Outcome outcome, int attempt = 0,
                                  double elapsed = 0.1);

  Balancer balancer;
  double now = 0;
};

// The actions of one type.
template <typename ActionType>
std::vector<ActionType> actions_of_type(const std::vector<Action>& actions) {
  std::vector<ActionType> selected;
  for (const Action& action : actions) {
    if (const auto* typed = std::get_if<ActionType>(&action)) selected.push_back(*typed);
  }
  return selected;
}

}  // namespace asterdrift::balancer
