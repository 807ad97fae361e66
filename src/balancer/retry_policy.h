// Retry policy: attempt time-outs, the retry budget, and how a request without a response may end.
#pragma once

#include <cstddef>
#include <vector>

#include "balancer/pending_request.h"
#include "balancer/replica_state.h"

namespace asterdrift::balancer {

// Decides for one request at a time. Retries are limited by a budget that successful responses refill.
class RetryPolicy {
 public:
  // The state has to outlive the policy.
  explicit RetryPolicy(const ReplicaState& state);

  // Seconds that the next attempt may take: until the request's deadline, or until the response is clearly
  // late while a retry can still follow.
  double attempt_timeout(const PendingRequest& request) const;

  // Whether a request without an open attempt may have one more.
  bool may_retry(const PendingRequest& request) const;

  // Whether a request may end as rejected. A rejection promises that the client can safely retry: nothing has
  // run, or the servers deduplicate.
  bool may_reject(const PendingRequest& request) const;

  // A retry of the request is sent.
  void spend(const PendingRequest& request);

  // A successful response has been received.
  void earn();

  // An attempt for a request of this class took `elapsed` seconds.
  void record_latency(std::size_t request_class, double elapsed);

 private:
  std::size_t max_attempts() const;

  const ReplicaState& state_;
  std::vector<support::SampledEstimate> latency_;  // s, by class
  double tokens_;                                  // retry budget
};

}  // namespace asterdrift::balancer
