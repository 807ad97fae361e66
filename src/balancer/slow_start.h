// Slow start: limits what an endpoint that has just started is sent.
#pragma once

#include "balancer/replica_state.h"

namespace asterdrift::balancer {

// Keeps all replicas together from overloading an endpoint that is warming up. Each replica spends a budget
// for each such endpoint, without communication with the other replicas.
class SlowStart {
 public:
  // The state has to outlive the slow start.
  explicit SlowStart(ReplicaState& state) : state_(state) {}

  // Whether the endpoint's budget allows one more request; always true for a warm endpoint. Refills the
  // budget.
  bool allows(EndpointRecord& record);

  // A request is sent to the endpoint.
  void spend(EndpointRecord& record) const;

 private:
  double warm_fraction(const EndpointRecord& record) const;
  double budget_fraction(const EndpointRecord& record, double warm_fraction) const;
  bool refill(SlowStartBudget& budget, double rate, double tokens_per_response) const;
  double capacity_per_response();
  double measure_capacity_per_response() const;

  ReplicaState& state_;
  double capacity_per_response_ = 0;
  double measured_at_ = -kInfinity;
};

}  // namespace asterdrift::balancer
