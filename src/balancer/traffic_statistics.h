// What a replica has measured of its traffic and of its tier as a whole.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "asterdrift/balancer/settings.h"
#include "support/decaying_statistics.h"

namespace asterdrift::balancer {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kLatencyGain = 0.05;  // weight of one sample in the latency estimates
constexpr double kAdmittedMemory = 5;  // s; smoothing of the admitted rate that slow start goes by
constexpr double kTierMemory = 2.5;    // s; smoothing of requests in flight and responses of the whole tier
constexpr double kLowInFlight = 3;     // requests in flight on average; fewer tell nothing at one moment
constexpr double kMostIdleLatency = 0.3;  // of the objective; a start under load takes no queue for usual
// A quicker tier soon becomes the usual; a slower one must not, since queues make it slow too.
constexpr support::AsymmetricBaseline::Parameters kIdleLatency = {.initial = 0.15,
                                                                  .most = kMostIdleLatency,
                                                                  .gain = 0.02,
                                                                  .least_samples = 20,
                                                                  .settle_time_s = 3,
                                                                  .fall_time_s = 5,
                                                                  .rise_time_s = 60};

struct TrafficStatistics {
  explicit TrafficStatistics(const Settings& settings) {
    for (const RequestClass& c : settings.classes) objective.add(c.latency_objective, 0);
    for (const Tenant& t : settings.tenants) quota_rate += t.quota.value_or(0) / settings.replica_count;
  }

  double request_rate(double now) const { return std::max(quota_rate, admitted.at(now)); }  // per second
  double idle_seconds() const { return idle_latency.value() * objective.mean; }  // latency without queues
  bool is_low(double now) const { return request_rate(now) * idle_seconds() < kLowInFlight; }

  double quota_rate = 0;               // requests/s within the tenants' quotas that this replica may expect
  support::SampledEstimate objective;  // s; latency objective of the requests that come
  support::SampledEstimate latency;    // of the tier, as a fraction of the objective
  support::AsymmetricBaseline idle_latency{kIdleLatency};  // the same without queues
  support::DecayingRate admitted{kAdmittedMemory}, answered{kTierMemory};
  std::uint64_t responses = 0;
  support::DecayingLevel in_flight{kTierMemory};
};

}  // namespace asterdrift::balancer
