// Which endpoints are much slower than their tier.
#pragma once

#include <algorithm>

#include "balancer/endpoint_set.h"
#include "balancer/traffic_statistics.h"

namespace asterdrift::balancer {

constexpr double kPriorSamples = 2;            // until an endpoint has so many it counts as usual by half
constexpr double kLeastRelativeLatency = 0.5;  // a few quick responses by chance draw no crowd
constexpr double kOutlierLatency = 3;          // x the tier's latency, from which an endpoint is ejected
constexpr double kLeastUsualLatency = 0.01;    // of the objective; a lower latency of the tier counts as this
constexpr double kLeastObjective = 0.001;      // s
static_assert(kLeastTrackedLatency < kPriorSamples * (kOutlierLatency - 1) * kLeastUsualLatency,
              "endpoints that are not tracked must not be outliers");

class OutlierDetection {
 public:
  explicit OutlierDetection(const TrafficStatistics& traffic) : traffic_(traffic) {}

  // An endpoint's latency divided by the tier's. Requests in flight count for as long as they have been, so
  // that endpoints that are silent show before their requests end.
  double relative_latency(const EndpointRecord& record, double now) const {
    const double usual = std::max(traffic_.latency.mean, kLeastUsualLatency);
    const double waited = record.in_flight * now - record.sent_at_sum;  // s, by all requests in flight
    const double open = waited / std::max(traffic_.objective.mean, kLeastObjective);
    const support::DecayingMean::Sum ended = record.latency.at(now);
    const double sum = kPriorSamples * usual + ended.sum + open;
    return std::max(sum / ((kPriorSamples + ended.weight) * usual), kLeastRelativeLatency);
  }
  bool is_outlier(const EndpointRecord& record, double now) const {
    return relative_latency(record, now) >= kOutlierLatency;
  }

 private:
  const TrafficStatistics& traffic_;
};

}  // namespace asterdrift::balancer
