// Slow start: limits the requests to an endpoint that has just started.
#pragma once

#include "asterdrift/seconds.h"
#include "balancer/replica_state.h"

namespace asterdrift::balancer {

// Ensures that all replicas together do not overload an endpoint that is warming up. Each replica has a
// budget of its own for each such endpoint, without communication with the other replicas.
class SlowStart {
 public:
  // `state` has to outlive this object.
  explicit SlowStart(ReplicaState& state) : state_(state) {}

  // Refills the endpoint's budget, and returns whether the budget allows one more request. Always true for an
  // endpoint that is not warming up.
  bool allows(EndpointRecord& record);

  // Takes a request, which is being sent to the endpoint, from the endpoint's budget.
  void spend(EndpointRecord& record) const;

 private:
  double warm_fraction(const EndpointRecord& record) const;
  double budget_fraction(const EndpointRecord& record, double warm_fraction) const;
  bool refill(SlowStartBudget& budget, double rate, double tokens_per_response) const;
  double capacity_per_response();
  double measure_capacity_per_response() const;

  ReplicaState& state_;
  double capacity_per_response_ = 0;
  Seconds measured_at_ = -kInfinity;
};

}  // namespace asterdrift::balancer
