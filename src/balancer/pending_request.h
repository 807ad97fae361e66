// A request that still needs a final response or has open attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "asterdrift/balancer/settings.h"
#include "asterdrift/seconds.h"
#include "balancer/attempt.h"

namespace asterdrift::balancer {

// The state of one request, with all attempts so far in the order in which they started.
struct PendingRequest {
  const RequestClass* rules = nullptr;  // the settings of the request's class
  std::size_t tenant = 0;
  std::size_t request_class = 0;
  Seconds deadline = 0;  // when a response stops being of use
  std::vector<Attempt> attempts;
  bool finished = false;       // the request has its final response, or needs none
  bool streaming = false;      // a response has begun, and is being forwarded to the client
  bool body_arriving = false;  // the body of the request is incomplete
  bool body_consumed = false;  // parts of the body cannot be sent again: no further attempt is possible

  bool has_open_attempt() const;
  // Whether an endpoint may have executed the request.
  bool may_have_run() const;
  bool was_sent_to(std::uint64_t endpoint_hash) const {
    return std::ranges::find(attempts, endpoint_hash, &Attempt::endpoint_hash) != attempts.end();
  }
  // The tokens that a retry takes from the retry budget. The budget limits the additional load on servers, so
  // a retry after a failed connection, which has caused no load, costs none.
  double retry_cost() const;
  // The time within which the last attempt has to reach a server, so that the server still deduplicates it
  // against the attempts before it.
  Seconds dedup_time_left(Seconds now) const;
};

}  // namespace asterdrift::balancer
