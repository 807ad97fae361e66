// Concurrency limits: how many requests may be in flight at each endpoint and at the tier.
#pragma once

#include "balancer/replica_state.h"

namespace asterdrift::balancer {

// Limits the requests in flight, so that one more request still gets its response within its latency
// objective. Only requests to tier 0 are limited: at a later tier a rejection would waste the work of the
// tiers before it.
class ConcurrencyLimit {
 public:
  // `state` has to outlive this object.
  explicit ConcurrencyLimit(ReplicaState& state) : state_(state) {}

  // Records that an endpoint list has arrived. The first one begins the start-up phase, in which nothing is
  // measured yet.
  void on_endpoint_list();

  // Whether the endpoint has capacity for one more request. If the traffic is low, the result is random.
  bool endpoint_has_capacity(const EndpointRecord& record) { return !is_limited() || is_below_limit(record); }

  // Whether the tier has capacity for one more request. The capacity of the tier is measured over all
  // endpoints, so that the selection of endpoints does not bias the measurement.
  bool tier_has_capacity() const;

 private:
  bool is_limited() const { return state_.settings.tier == 0; }
  bool is_below_limit(const EndpointRecord& record);
  double unmeasured_capacity(Seconds since) const;
  bool is_endpoint_share_low() const;

  ReplicaState& state_;
  Seconds first_list_at_ = kInfinity;
};

}  // namespace asterdrift::balancer
