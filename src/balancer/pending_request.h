// A request that still needs a final response or has open attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "asterdrift/balancer/settings.h"
#include "balancer/attempt.h"

namespace asterdrift::balancer {

struct PendingRequest {
  const RequestClass* rules = nullptr;  // of its class, in the settings
  std::size_t tenant = 0;
  std::size_t request_class = 0;
  double deadline = 0;  // when a response is of no use any more
  std::vector<Attempt> attempts;
  bool finished = false;       // has its final response, or needs none
  bool streaming = false;      // a response has begun; its client owns it
  bool body_arriving = false;  // its body is incomplete
  bool body_consumed = false;  // parts of its body cannot be sent again: no further attempt is possible

  bool any_open() const;
  // Whether an endpoint may have executed it.
  bool may_have_run() const;
  bool was_sent_to(std::uint64_t endpoint_hash) const {
    return std::ranges::find(attempts, endpoint_hash, &Attempt::endpoint_hash) != attempts.end();
  }
  // What a retry takes from the retry budget, which limits the additional load on servers: a connection that
  // failed has caused none.
  double retry_cost() const;
  // Seconds in which the last attempt may still reach a server that deduplicates the attempts before it.
  double dedup_time_left(double now) const;
};

}  // namespace asterdrift::balancer
