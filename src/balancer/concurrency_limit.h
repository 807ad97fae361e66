// How many requests may be in flight, so that a further one is answered well before its latency objective.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/replica_state.h"

namespace asterdrift::balancer {

constexpr double kQueueFactor = 1.5;      // x the idle latency; endpoints with longer queues get no request
constexpr double kTierFactor = 1.8;       // x the same for the whole tier, whose measure is steadier
constexpr double kLeastCapacity = 2;      // requests in flight, over all replicas, that any endpoint can hold
constexpr double kStartCapacity = 6;      // and more where it has had no time to respond; fades
constexpr double kLowCapacity = 1.75;     // requests; a smaller part of an endpoint is too coarse a measure
constexpr double kLowTrafficStart = 1.5;  // requests in flight at the start, fading
constexpr double kLowTrafficSlack = 0.4;  // requests in flight on average, beyond what the responses allow

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ReplicaState& state) : state_(state) {}

  // Endpoints have been listed; the first time begins the start, in which nothing is measured yet.
  void endpoints_listed() { started_at_ = std::min(started_at_, state_.now); }

  // Past tier 0 a rejection wastes what was done above. What is not measured is divided between replicas by
  // random offsets; where they are many a lasting one would shut an endpoint to most, so each request draws.
  bool endpoint_has_capacity(const EndpointRecord& record) {
    const TrafficStatistics& traffic = state_.traffic;
    if (state_.settings.tier > 0 || traffic.is_low(state_.now)) return true;
    const double offset = is_low() ? state_.random.unit() : record.rounding_offset;
    return record.in_flight + offset <
           unmeasured_capacity(record.first_seen_at) / state_.subset.sharing_replicas() +
               kQueueFactor * traffic.idle_seconds() * record.responses.at(state_.now);
  }

  // The same for all endpoints, whose measure is not biased by selection. At the start of a replica with few
  // requests the most that the idle latency can be stands in for it, lest a slow idle tier be rejected.
  bool tier_has_capacity() const {
    if (state_.settings.tier > 0) return true;
    const TrafficStatistics& traffic = state_.traffic;
    const double now = state_.now;
    const bool known = traffic.idle_latency.is_learned() || !is_low();
    const double usual = known ? traffic.idle_seconds() : kMostIdleLatency * traffic.objective.mean;
    const double measured = kTierFactor * usual * traffic.answered.at(now);
    if (traffic.is_low(now)) {
      const double start = kLowTrafficStart * std::exp((started_at_ - now) / kTierMemory);
      return traffic.in_flight.mean(now) < kLowTrafficSlack + start + measured;
    }
    const double start = unmeasured_capacity(started_at_) * static_cast<double>(state_.subset.size()) /
                         state_.subset.sharing_replicas();
    return traffic.in_flight.level() < 1 + start + measured;
  }

 private:
  // Requests that may be in flight, over all replicas, where nothing is measured yet.
  double unmeasured_capacity(double since) const {
    return kLeastCapacity + kStartCapacity * std::exp((since - state_.now) / kResponseRateMemory);
  }
  // Whether this replica's part of an average endpoint's capacity is too small to count in whole requests.
  bool is_low() const {
    const double calls =
        kQueueFactor * state_.traffic.idle_seconds() * state_.traffic.request_rate(state_.now);
    const double part = calls / static_cast<double>(state_.endpoints.ready().size());
    return part + kLeastCapacity / state_.subset.sharing_replicas() < kLowCapacity;
  }

  ReplicaState& state_;
  double started_at_ = kForever;
};

}  // namespace asterdrift::balancer
