// Slow start: keeps all replicas together from overloading endpoints that have just started.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/replica_state.h"

namespace asterdrift::balancer {

constexpr double kBudgetPart = 0.5;     // of overload_multiple x sure capacity: sizes and chance differ
constexpr double kTrustFactor = 2;      // x that budget; what low latency adds to it at most
constexpr double kResponsePart = 0.75;  // of overload_multiple x sure capacity; of all responses, at most
constexpr double kSavedPart = 0.25;     // of overload_window; what a replica may save up beyond one request

class SlowStart {
 public:
  explicit SlowStart(ReplicaState& state) : state_(state) {}

  // Whether an endpoint's budget has room for a request; always, if it is warm. Each replica spends the
  // endpoint's part of its own traffic within the quotas at most, scaled to what the endpoint can serve yet.
  bool allows(EndpointRecord& record) {
    const double warm = warm_fraction(record);
    if (warm >= 1) return true;
    const TrafficStatistics& traffic = state_.traffic;
    const double size = record.advertised.weight / state_.endpoints.ready_weight();
    double admitted = traffic.admitted.at(state_.now);
    if (state_.settings.tier == 0 && traffic.quota_rate > 0)
      admitted = std::min(admitted, traffic.quota_rate);
    const double rate = admitted * share_of_warm(record, warm) * size;
    const double response_share = std::min(1.0, warm * state_.settings.overload_multiple * kResponsePart);
    return refill(record.slow_start, rate, capacity_per_response() * response_share * size);
  }

  // A request goes to the endpoint.
  void spend(EndpointRecord& record) const {
    if (warm_fraction(record) >= 1) return;
    record.slow_start.by_rate.spend();
    record.slow_start.by_responses.spend();
  }

 private:
  // The fraction of its full capacity that an endpoint is sure to have by now.
  double warm_fraction(const EndpointRecord& record) const {
    const Settings& settings = state_.settings;
    if (record.advertised.started_at == 0 || settings.slow_start_duration <= 0) return 1;
    const double age = std::max(0.0, state_.now - record.advertised.started_at);
    const double least = settings.slow_start_capacity;
    return std::min(1.0, least + (1 - least) * age / settings.slow_start_duration);
  }

  // The fraction of a warm endpoint's requests that one warming up may have. One that responds as quickly as
  // others do may have more: work warms it up sooner than the sure time.
  double share_of_warm(const EndpointRecord& record, double warm) const {
    const TrafficStatistics& traffic = state_.traffic;
    const double samples = record.latency.at(state_.now).weight;
    const double idle = traffic.idle_latency.is_learned() ? traffic.idle_latency.value() : kMostIdleLatency;
    const double against_idle =
        state_.outliers.relative_latency(record, state_.now) * std::max(1.0, traffic.latency.mean / idle);
    const double trust = std::clamp(2 - against_idle, 0.0, 1.0) * (samples / (kPriorSamples + samples));
    return std::min(1.0, warm * state_.settings.overload_multiple * kBudgetPart * (1 + kTrustFactor * trust));
  }

  // Tokens come with time, and with responses: where more requests come than the tier serves, as in a burst
  // or with more replicas than configured, only its responses show it.
  bool refill(SlowStartBudget& budget, double rate, double tokens_per_response) const {
    const double most = 1 + rate * state_.settings.overload_window * kSavedPart;
    const auto responses = static_cast<double>(state_.traffic.responses - budget.responses_seen);
    budget.by_rate.add((state_.now - budget.refilled_at) * rate, most);
    budget.by_responses.add(std::isinf(tokens_per_response) ? most : responses * tokens_per_response, most);
    budget.refilled_at = state_.now;
    budget.responses_seen = state_.traffic.responses;
    return budget.by_rate.has_one() && budget.by_responses.has_one();
  }

  // What this replica's part of the tier would respond, were all of it warm and healthy, for each response
  // now. Endpoints warming up count by their sure capacity. Infinite where none is warm: theirs tell nothing.
  double capacity_per_response() {
    if (measured_at_ == state_.now) return capacity_per_response_;  // asked for each endpoint warming up
    double all = 0, sure = 0, healthy = 0;
    bool any_warm = false;
    for (const std::uint32_t slot : state_.subset.sample_of_few()) {
      const EndpointRecord& record = state_.endpoints[slot];
      const double weight = record.advertised.weight, warm = warm_fraction(record);
      all += weight;
      sure += weight * warm;
      if (warm < 1 || !state_.outliers.is_outlier(record, state_.now)) healthy += weight * warm;
      any_warm = any_warm || warm >= 1;
    }
    measured_at_ = state_.now;
    return capacity_per_response_ = any_warm ? all / (healthy > 0 ? healthy : sure) : kForever;
  }

  ReplicaState& state_;
  double capacity_per_response_ = 0, measured_at_ = -kForever;
};

}  // namespace asterdrift::balancer
