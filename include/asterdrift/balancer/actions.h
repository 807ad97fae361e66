// The actions that a Balancer requests of its host, which executes them in the given order.
//
// All durations are in seconds and all times are seconds on the host's clock.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <variant>

namespace asterdrift::balancer {

// Starts an attempt. A request's attempts are numbered 0, 1, 2 ... in the order of their SendAttempts.
struct SendAttempt {
  std::string id;        // of the request
  std::string endpoint;  // address
  double timeout = 0;    // s
  // s; not to be written after this time, when servers may have dropped the idempotency key.
  double write_within = std::numeric_limits<double>::infinity();
};

// Final response: rejected; the client can safely retry.
struct RejectRequest {
  std::string id;
  double retry_after = 0;  // s; 0: no Retry-After
};

// Final response: failed; the request may have been executed.
struct FailRequest {
  std::string id;
};

// Withdraws one attempt.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

// Requests a TimerFired event with this token at a time.
struct SetTimer {
  double at = 0;
  std::uint64_t token = 0;
};

// Requests EndpointUpdate events from now on.
struct WatchEndpoints {};

// A line for the host's log.
struct LogLine {
  std::string text;
};

// Any action.
using Action =
    std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt, SetTimer, WatchEndpoints, LogLine>;

}  // namespace asterdrift::balancer
