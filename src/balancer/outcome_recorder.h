// Records the outcomes of attempts in the statistics that decisions depend on.
#pragma once

#include <vector>

#include "balancer/admission_control.h"
#include "balancer/endpoint_selection.h"
#include "balancer/pending_request.h"
#include "balancer/replica_state.h"
#include "balancer/retry_policy.h"

namespace asterdrift::balancer {

// Updates the statistics of the endpoint, of its zone, of the tier and of the request's class, the retry
// budget, and the rate limit of the tenant.
class OutcomeRecorder {
 public:
  // The arguments have to outlive the recorder. admission: by tenant.
  OutcomeRecorder(ReplicaState& state, std::vector<TenantAdmission>& admission, EndpointSelection& selection,
                  RetryPolicy& retries)
      : state_(state), admission_(admission), selection_(selection), retries_(retries) {}

  // Records an attempt that took `elapsed` seconds. To be called once for each attempt: when its response
  // starts, or when it ends without one.
  void record(const PendingRequest& request, const Attempt& attempt, Outcome outcome, double elapsed);

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
