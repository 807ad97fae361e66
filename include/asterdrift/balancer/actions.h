// What a Balancer tells its host to do. Hosts carry actions out in the order in which they are given.
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
  // s; not to be written later than this, when servers may have forgotten the idempotency key.
  double write_within = std::numeric_limits<double>::infinity();
};

// Final response: rejected, and a retry is harmless.
struct RejectRequest {
  std::string id;
  double retry_after = 0;  // s; 0: no Retry-After
};

// Final response: failed; it may have run.
struct FailRequest {
  std::string id;
};

// Stops waiting for one attempt.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

// Asks for a TimerFired with this token at a time.
struct SetTimer {
  double at = 0;
  std::uint64_t token = 0;
};

// Asks for endpoint updates from now on.
struct WatchEndpoints {};

// A line for the host's log.
struct LogLine {
  std::string text;
};

using Action =
    std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt, SetTimer, WatchEndpoints, LogLine>;

}  // namespace asterdrift::balancer
