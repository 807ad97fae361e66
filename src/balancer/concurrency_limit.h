// Concurrency limits of each endpoint and of the tier.
#pragma once

#include "balancer/replica_state.h"

namespace asterdrift::balancer {

// Limits the requests in flight, so that a further request still gets its response before its latency
// objective. Only tier 0 is limited: past it a rejection would waste the work of the tiers above.
class ConcurrencyLimit {
 public:
  // The state has to outlive the limit.
  explicit ConcurrencyLimit(ReplicaState& state) : state_(state) {}

  // An endpoint list has arrived. The first one begins the start-up phase, in which nothing is measured yet.
  void on_endpoint_list();

  // Whether the endpoint has capacity for one more request. With little traffic the result is random.
  bool endpoint_has_capacity(const EndpointRecord& record) { return !is_limited() || is_below_limit(record); }

  // Whether the tier has. Measured over all endpoints, which selection does not bias.
  bool tier_has_capacity() const;

 private:
  // Only tier 0 is.
  bool is_limited() const { return state_.settings.tier == 0; }
  bool is_below_limit(const EndpointRecord& record);
  double unmeasured_capacity(double since) const;
  bool is_endpoint_share_low() const;

  ReplicaState& state_;
  double started_at_ = kInfinity;
};

}  // namespace asterdrift::balancer
