// Computes the relative latency of an endpoint.
#include "balancer/outlier_detection.h"

#include <algorithm>

namespace asterdrift::balancer {
namespace {

// A few responses that are quick by chance must not attract all traffic to an endpoint.
constexpr double kMinRelativeLatency = 0.5;
// The tier's latency counts as at least this fraction of the objective.
constexpr double kMinTierLatencyFraction = 0.01;
constexpr Seconds kMinObjective = 0.001;  // lower bound of the mean objective when it is a divisor
static_assert(kMinTrackedLatency < kPriorSamples * (kOutlierRelativeLatency - 1) * kMinTierLatencyFraction,
              "endpoints that are not tracked must not be outliers");

}  // namespace

double OutlierDetection::relative_latency(const EndpointRecord& record, Seconds now) const {
  const double tier_latency = std::max(traffic_.latency.mean, kMinTierLatencyFraction);
  // The sum of the times that all requests in flight have waited.
  const Seconds waited = record.in_flight * now - record.sent_at_sum;
  const double in_flight = waited / std::max(traffic_.objective.mean, kMinObjective);
  const support::DecayingMean::WeightedSum ended = record.latency.at(now);
  const double sum = kPriorSamples * tier_latency + ended.sum + in_flight;
  return std::max(sum / ((kPriorSamples + ended.weight) * tier_latency), kMinRelativeLatency);
}

bool OutlierDetection::is_outlier(const EndpointRecord& record, Seconds now) const {
  return relative_latency(record, now) >= kOutlierRelativeLatency;
}

}  // namespace asterdrift::balancer
