// Settings, endpoints and a replica driver, shared by the tests of the decision module.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "asterdrift/seconds.h"

namespace asterdrift::balancer {

// A request class with a latency objective of 2 s, a timeout of 6 s and a deduplication window of 4 s.
RequestClass make_request_class(Idempotency idempotency, DedupScope scope = DedupScope::kCell);

// Settings with one request class, no tenants and at most four attempts for each request.
Settings basic_settings(const RequestClass& request_class = make_request_class(Idempotency::kIdempotent));

// basic_settings() with one tenant whose quota no test exhausts, so that its rate limit denies no request.
Settings settings_with_large_quota();

// A ready endpoint whose address is "s" followed by `number`.
Endpoint make_endpoint(int number, int zone = 0, int cell = 0);

// A snapshot that lists the endpoints 0 to count - 1.
EndpointUpdate make_snapshot(int count);

// An incremental update of one endpoint.
EndpointUpdate make_update(const Endpoint& endpoint, EndpointState state = EndpointState::kReady);

// Reports a failed poll or a broken watch.
EndpointUpdate make_watch_failure();

// Whether, and at which servers, a request may be executed more than once.
struct IdempotencyPolicy {
  Idempotency idempotency;
  DedupScope dedup_scope;  // deduplication scope for Idempotency::kIdempotencyKey
};

// All outcomes except success.
constexpr Outcome kFailureOutcomes[] = {
    Outcome::kServerError,     Outcome::kRejected,  Outcome::kTimedOut, Outcome::kConnectFailed,
    Outcome::kConnectionReset, Outcome::kCancelled, Outcome::kNotSent,  Outcome::kUnknown};

// Counts rejections and failures.
std::size_t count_final_responses(const std::vector<Action>& actions);

// A balancer and its clock. Each function that sends an event returns the actions that the event causes.
class TestReplica {
 public:
  explicit TestReplica(const Settings& settings, std::uint64_t seed = 1) : balancer(settings, seed) {}

  // Advances the clock to `time` and sends an event.
  std::vector<Action> handle(Seconds time, const Event& event);

  // Sends a request with 6 s left, at the current time.
  std::vector<Action> request(const std::string& id, std::size_t tenant = 0, std::size_t request_class = 0);
  // Ends an attempt at the current time. A success ends its request as well.
  std::vector<Action> end_attempt(const std::string& id, Outcome outcome, int attempt = 0,
                                  Seconds elapsed = 0.1);

  Balancer balancer;
  Seconds now = 0;
};

// Selects the actions of one type, in order.
template <typename ActionType>
std::vector<ActionType> actions_of_type(const std::vector<Action>& actions) {
  std::vector<ActionType> selected;
  for (const Action& action : actions) {
    if (const auto* typed = std::get_if<ActionType>(&action)) selected.push_back(*typed);
  }
  return selected;
}

}  // namespace asterdrift::balancer
