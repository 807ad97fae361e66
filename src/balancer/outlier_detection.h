// Outlier detection: finds endpoints that are much slower than their tier.
#pragma once

#include "asterdrift/seconds.h"
#include "balancer/endpoint_record.h"
#include "balancer/traffic_statistics.h"

namespace asterdrift::balancer {

// Weight of the tier's latency in the estimate of the latency of one endpoint, as a number of samples.
constexpr double kPriorSamples = 2;
// An endpoint is ejected from this multiple of the tier's latency.
constexpr double kOutlierRelativeLatency = 3;

// Compares the latency of endpoints with the latency of the tier.
class OutlierDetection {
 public:
  // `traffic` has to outlive this object.
  explicit OutlierDetection(const TrafficStatistics& traffic) : traffic_(traffic) {}

  // An endpoint's latency divided by the tier's latency. Requests in flight count with the time since they
  // were sent, so that an endpoint that does not respond is detected before its requests time out.
  double relative_latency(const EndpointRecord& record, Seconds now) const;

  // Whether an endpoint should be ejected while other endpoints are healthy.
  bool is_outlier(const EndpointRecord& record, Seconds now) const;

 private:
  const TrafficStatistics& traffic_;
};

}  // namespace asterdrift::balancer
