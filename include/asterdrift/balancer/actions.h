// The actions that a Balancer requests of its host, which executes them in the given order.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <variant>

#include "asterdrift/seconds.h"

namespace asterdrift::balancer {

// Starts an attempt. A request's attempts are numbered 0, 1, 2 ... in the order of its SendAttempt actions.
struct SendAttempt {
  std::string id;        // identifies the request
  std::string endpoint;  // address of the endpoint
  Seconds timeout = 0;
  // The longest time between this action and the write to the connection. After this time the attempt must
  // not be written any more, since servers may have dropped the idempotency key.
  Seconds write_within = std::numeric_limits<Seconds>::infinity();
};

// Gives a request its final response: the request is rejected, and the client can safely retry.
struct RejectRequest {
  std::string id;
  Seconds retry_after = 0;  // 0: the response has no Retry-After
};

// Gives a request its final response: the request has failed, and may have been executed.
struct FailRequest {
  std::string id;
};

// Cancels one attempt.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

// Requests a TimerFired event with this token at the time `at`.
struct SetTimer {
  Seconds at = 0;
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
