// Records the outcomes of attempts in the statistics on which decisions depend.
#pragma once

#include <vector>

#include "asterdrift/seconds.h"
#include "balancer/admission_control.h"
#include "balancer/endpoint_selection.h"
#include "balancer/pending_request.h"
#include "balancer/replica_state.h"
#include "balancer/retry_policy.h"

namespace asterdrift::balancer {

// Updates the statistics of the endpoint, of its zone, of the tier and of the request's class; the retry
// budget; and the rate limit of the tenant.
class OutcomeRecorder {
 public:
  // The arguments have to outlive this object. `admission` is indexed by tenant.
  OutcomeRecorder(ReplicaState& state, std::vector<TenantAdmission>& admission, EndpointSelection& selection,
                  RetryPolicy& retries)
      : state_(state), admission_(admission), selection_(selection), retries_(retries) {}

  // Records an attempt that took the time `elapsed`. Has to be called once for each attempt: when its
  // response starts, or when the attempt ends without a response.
  void record(const PendingRequest& request, const Attempt& attempt, Outcome outcome, Seconds elapsed);

 private:
  void record_response(EndpointRecord& record, double latency);
  void record_endpoint_latency(EndpointRecord& record, Outcome outcome, double latency);
  void record_admission(std::size_t tenant, Outcome outcome, double latency, bool was_healthy);

  ReplicaState& state_;
  std::vector<TenantAdmission>& admission_;
  EndpointSelection& selection_;
  RetryPolicy& retries_;
};

}  // namespace asterdrift::balancer
