// Retry policy: timeouts of attempts, the retry budget, and how a request without a response may end.
#pragma once

#include <cstddef>
#include <vector>

#include "asterdrift/seconds.h"
#include "balancer/pending_request.h"
#include "balancer/replica_state.h"

namespace asterdrift::balancer {

// Decides about the retries of each request. Retries are limited by a budget that successful responses
// refill.
class RetryPolicy {
 public:
  // `state` has to outlive this object.
  explicit RetryPolicy(const ReplicaState& state);

  // The timeout of the next attempt: the time until the request's deadline or, if a retry can still follow,
  // the time after which the response is clearly late.
  Seconds attempt_timeout(const PendingRequest& request) const;

  // Whether a request without an open attempt may have one more attempt.
  bool may_retry(const PendingRequest& request) const;

  // Whether a request may be rejected. A rejection promises that the client can safely retry: no server has
  // executed the request, or the servers deduplicate it.
  bool may_reject(const PendingRequest& request) const;

  // Takes the cost of a retry, which is being sent, from the retry budget.
  void record_retry(const PendingRequest& request);

  // Refills the retry budget for a successful response.
  void record_success();

  // Records the time that an attempt for a request of this class took.
  void record_latency(std::size_t request_class, Seconds elapsed);

 private:
  std::size_t max_attempts() const;

  const ReplicaState& state_;
  std::vector<support::SampledEstimate> latency_;  // latency of each request class, in seconds
  double retry_tokens_;
};

}  // namespace asterdrift::balancer
