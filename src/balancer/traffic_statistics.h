// Statistics of one replica's traffic and of its tier as a whole.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "asterdrift/balancer/settings.h"
#include "asterdrift/seconds.h"
#include "support/decaying_statistics.h"

namespace asterdrift::balancer {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kLatencyGain = 0.05;  // weight of one sample in the latency estimates
// Time constant of the tier's mean number of requests in flight and of the tier's response rate.
constexpr Seconds kTierTimeConstant = 2.5;
// Upper bound of the tier's latency without queueing, as a fraction of the latency objective.
constexpr double kMaxIdleLatencyFraction = 0.3;

// A replica's measurements of the requests that it admits and of the responses to them.
struct TrafficStatistics {
  // Initial statistics, before any measurement: the objective is averaged over the classes, and the quotas
  // are the configured ones.
  explicit TrafficStatistics(const Settings& settings);

  // The rate of admitted requests per second, but at least the rate of the quotas.
  double request_rate(Seconds now) const { return std::max(quota_rate, admission_rate.at(now)); }
  // The latency of the tier when no requests queue.
  Seconds idle_latency() const { return idle_latency_fraction.value() * objective.mean; }
  // Whether the traffic is so low that the number of requests in flight at one moment is not meaningful.
  bool is_low(Seconds now) const;

  // Share of this replica in the quotas of all tenants, in requests per second.
  double quota_rate = 0;
  support::SampledEstimate objective;  // latency objective of the incoming requests, in seconds
  support::SampledEstimate latency;    // latency of the tier, as a fraction of the objective
  // Latency of the tier without queueing, as a fraction of the objective.
  support::AsymmetricBaseline idle_latency_fraction;
  support::DecayingRate admission_rate;  // rate of admitted requests
  support::DecayingRate response_rate;   // rate of successful responses
  std::uint64_t response_count = 0;      // successful responses since the start
  support::DecayingLevel in_flight;      // requests of this replica in flight at the tier
};

}  // namespace asterdrift::balancer
