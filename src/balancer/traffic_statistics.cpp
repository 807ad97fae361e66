// Initial values and derived values of the statistics.
#include "balancer/traffic_statistics.h"

namespace asterdrift::balancer {
namespace {

constexpr Seconds kAdmissionTimeConstant = 5;
// The traffic is low if fewer requests than this are in flight on average.
constexpr double kLowInFlight = 3;
// The baseline follows a decrease of the latency quickly and an increase slowly, since queueing also
// increases the latency.
constexpr support::AsymmetricBaseline::Parameters kIdleLatency = {.initial = 0.15,
                                                                  .max = kMaxIdleLatencyFraction,
                                                                  .gain = 0.02,
                                                                  .min_samples = 20,
                                                                  .settle_time = 3,
                                                                  .fall_time = 5,
                                                                  .rise_time = 60};

}  // namespace

TrafficStatistics::TrafficStatistics(const Settings& settings)
    : idle_latency_fraction(kIdleLatency),
      admission_rate(kAdmissionTimeConstant),
      response_rate(kTierTimeConstant),
      in_flight(kTierTimeConstant) {
  for (const RequestClass& request_class : settings.classes)
    objective.add(request_class.latency_objective, 0);
  for (const Tenant& tenant : settings.tenants) {
    quota_rate += tenant.quota.value_or(0) / settings.replica_count;
  }
}

bool TrafficStatistics::is_low(Seconds now) const {
  return request_rate(now) * idle_latency() < kLowInFlight;
}

}  // namespace asterdrift::balancer
