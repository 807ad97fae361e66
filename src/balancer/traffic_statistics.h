// Statistics of one replica's traffic and of its tier as a whole.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "asterdrift/balancer/settings.h"
#include "support/decaying_statistics.h"

namespace asterdrift::balancer {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kLatencyGain = 0.05;            // weight of one sample in the latency estimates
constexpr double kTierTimeConstantS = 2.5;       // of the in-flight level and response rate of the tier
constexpr double kMaxIdleLatencyFraction = 0.3;  // of the latency objective

// What a replica has measured of the requests that it admits and of the responses to them.
struct TrafficStatistics {
  // Nothing is measured yet: the objective is averaged over the classes, the quotas are the configured ones.
  explicit TrafficStatistics(const Settings& settings);

  // Requests per second: the admitted rate, but at least the rate of the quotas.
  double request_rate(double now) const { return std::max(quota_rate, admission_rate.at(now)); }
  // Seconds; the latency of the tier when no requests queue.
  double idle_latency_s() const { return idle_latency.value() * objective.mean; }
  // Whether so few requests are in flight that their number at one moment is not meaningful.
  bool is_low(double now) const;

  double quota_rate = 0;                     // requests/s; this replica's share of the quotas of all tenants
  support::SampledEstimate objective;        // s; latency objective of the incoming requests
  support::SampledEstimate latency;          // of the tier, as a fraction of the objective
  support::AsymmetricBaseline idle_latency;  // the same without queueing
  support::DecayingRate admission_rate;
  support::DecayingRate response_rate;
  std::uint64_t response_count = 0;
  support::DecayingLevel in_flight;
};

}  // namespace asterdrift::balancer
