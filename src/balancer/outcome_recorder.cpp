// Determines which statistics an outcome updates.
#include "balancer/outcome_recorder.h"

#include <algorithm>

namespace asterdrift::balancer {
namespace {

// A response with a latency above this fraction of the objective indicates overload, so that queues are
// detected before responses miss the objective.
constexpr double kOverloadedLatencyFraction = 0.6;
// A failed attempt counts with at least this multiple of the tier's latency.
constexpr double kFailureLatencyFactor = 8;

double to_fraction_of_objective(Seconds elapsed, const PendingRequest& request) {
  const Seconds objective = request.rules->latency_objective;
  return objective > 0 ? elapsed / objective : 0;
}

// Whether the outcome depends on the capacity of the tier. Errors and broken connections do not.
bool depends_on_capacity(Outcome outcome) {
  return outcome == Outcome::kSuccess || outcome == Outcome::kRejected || outcome == Outcome::kTimedOut ||
         outcome == Outcome::kConnectFailed;
}

}  // namespace

void OutcomeRecorder::record(const PendingRequest& request, const Attempt& attempt, Outcome outcome,
                             Seconds elapsed) {
  EndpointRecord& record = state_.endpoints[attempt.slot()];
  if (record.hash != attempt.endpoint_hash()) return;  // the endpoint was removed, and its slot was reused
  if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) return;
  const bool was_healthy = !state_.outliers.is_outlier(record, state_.now);
  const double latency = to_fraction_of_objective(elapsed, request);
  if (outcome == Outcome::kSuccess) record_response(record, latency);
  if (outcome == Outcome::kSuccess || outcome == Outcome::kTimedOut) {
    retries_.record_latency(request.request_class, elapsed);
    state_.traffic.latency.add(latency, kLatencyGain);
  }
  if (outcome != Outcome::kRejected) record_endpoint_latency(record, outcome, latency);
  record_admission(request.tenant, outcome, latency, was_healthy);
}

void OutcomeRecorder::record_response(EndpointRecord& record, double latency) {
  TrafficStatistics& traffic = state_.traffic;
  retries_.record_success();
  record.response_rate.add(state_.now);
  traffic.response_rate.add(state_.now);
  ++traffic.response_count;
  traffic.idle_latency_fraction.add(state_.now, latency);
}

void OutcomeRecorder::record_endpoint_latency(EndpointRecord& record, Outcome outcome, double latency) {
  const double counted = outcome == Outcome::kSuccess
                             ? latency
                             : std::max(latency, kFailureLatencyFactor * state_.traffic.latency.mean);
  record.latency.add(state_.now, counted);
  selection_.record_latency(record, counted);
}

// The overload of a single outlier does not lower the limit of a tenant.
void OutcomeRecorder::record_admission(std::size_t tenant, Outcome outcome, double latency,
                                       bool was_healthy) {
  if (!depends_on_capacity(outcome)) return;
  const bool success = outcome == Outcome::kSuccess;
  const bool overloaded = !success || latency > kOverloadedLatencyFraction;
  if (overloaded && !was_healthy) return;
  admission_[tenant].record_outcome(state_.now, overloaded, success && latency <= 1);
}

}  // namespace asterdrift::balancer
