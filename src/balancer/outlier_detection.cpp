// The relative latency of an endpoint.
#include "balancer/outlier_detection.h"

#include <algorithm>

namespace asterdrift::balancer {
namespace {

constexpr double kMinRelativeLatency = 0.5;  // a few quick responses by chance must not attract all traffic
constexpr double kMinTierLatencyFraction = 0.01;  // of the objective
constexpr double kMinObjectiveS = 0.001;
static_assert(kMinTrackedLatency < kPriorSamples * (kOutlierLatency - 1) * kMinTierLatencyFraction,
              "endpoints that are not tracked must not be outliers");

}  // namespace

double OutlierDetection::relative_latency(const EndpointRecord& record, double now) const {
  const double tier_latency = std::max(traffic_.latency.mean, kMinTierLatencyFraction);
  const double waited_s = record.in_flight * now - record.sent_at_sum;  // by all requests in flight together
  const double in_flight = waited_s / std::max(traffic_.objective.mean, kMinObjectiveS);
  const support::DecayingMean::Sum ended = record.latency.at(now);
  const double sum = kPriorSamples * tier_latency + ended.sum + in_flight;
  return std::max(sum / ((kPriorSamples + ended.weight) * tier_latency), kMinRelativeLatency);
}

bool OutlierDetection::is_outlier(const EndpointRecord& record, double now) const {
  return relative_latency(record, now) >= kOutlierLatency;
}

}  // namespace asterdrift::balancer
