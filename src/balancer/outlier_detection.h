// Outlier detection: endpoints that are much slower than their tier.
#pragma once

#include "balancer/endpoint_record.h"
#include "balancer/traffic_statistics.h"

namespace asterdrift::balancer {

constexpr double kPriorSamples = 2;    // weight of the tier's latency in the estimate for one endpoint
constexpr double kOutlierLatency = 3;  // x the tier's latency, from which an endpoint is ejected

// Compares the latency of endpoints with that of the tier.
class OutlierDetection {
 public:
  // The statistics have to outlive the detection.
  explicit OutlierDetection(const TrafficStatistics& traffic) : traffic_(traffic) {}

  // An endpoint's latency divided by the tier's. Requests in flight count with the time since they were sent,
  // so that an endpoint that does not respond is detected before its requests time out.
  double relative_latency(const EndpointRecord& record, double now) const;

  // Whether an endpoint should be ejected while others are healthy.
  bool is_outlier(const EndpointRecord& record, double now) const;

 private:
  const TrafficStatistics& traffic_;
};

}  // namespace asterdrift::balancer
