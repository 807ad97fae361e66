// Initial values and derived values of the statistics.
#include "balancer/traffic_statistics.h"

namespace asterdrift::balancer {
namespace {

constexpr double kAdmissionTimeConstantS = 5;
constexpr double kLowInFlight = 3;  // requests in flight on average
// The baseline follows a quicker tier soon but a slower one hardly, since queueing makes a tier slower too.
constexpr support::AsymmetricBaseline::Parameters kIdleLatency = {.initial = 0.15,
                                                                  .max = kMaxIdleLatencyFraction,
                                                                  .gain = 0.02,
                                                                  .min_samples = 20,
                                                                  .settle_time_s = 3,
                                                                  .fall_time_s = 5,
                                                                  .rise_time_s = 60};

}  // namespace

TrafficStatistics::TrafficStatistics(const Settings& settings)
    : idle_latency(kIdleLatency),
      admission_rate(kAdmissionTimeConstantS),
      response_rate(kTierTimeConstantS),
      in_flight(kTierTimeConstantS) {
  for (const RequestClass& request_class : settings.classes)
    objective.add(request_class.latency_objective, 0);
  for (const Tenant& tenant : settings.tenants) {
    quota_rate += tenant.quota.value_or(0) / settings.replica_count;
  }
}

bool TrafficStatistics::is_low(double now) const {
  return request_rate(now) * idle_latency_s() < kLowInFlight;
}

}  // namespace asterdrift::balancer
