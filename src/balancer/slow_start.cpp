// The budgets of endpoints that are warming up.
#include "balancer/slow_start.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::balancer {
namespace {

// The two budgets, as fractions of overload_multiple times the assured capacity.
constexpr double kRateBudgetFraction = 0.5;
constexpr double kResponseBudgetFraction = 0.75;
// Low latency adds at most this multiple of the rate budget to the rate budget.
constexpr double kTrustFactor = 2;
// Beyond one request, a budget can save tokens for this fraction of overload_window.
constexpr double kBurstFraction = 0.25;

}  // namespace

// A replica sends the endpoint the endpoint's share of the admitted requests, scaled to the capacity that the
// endpoint already has. At tier 0, requests beyond the quotas do not increase this share.
bool SlowStart::allows(EndpointRecord& record) {
  const double warm = warm_fraction(record);
  if (warm >= 1) return true;
  const TrafficStatistics& traffic = state_.traffic;
  const double endpoint_share = record.advertised.weight / state_.endpoints.ready_weight();
  double admitted = traffic.admission_rate.at(state_.now);
  if (state_.settings.tier == 0 && traffic.quota_rate > 0) admitted = std::min(admitted, traffic.quota_rate);
  const double rate = admitted * budget_fraction(record, warm) * endpoint_share;
  const double response_fraction =
      std::min(1.0, warm * state_.settings.overload_multiple * kResponseBudgetFraction);
  return refill(record.slow_start, rate, capacity_per_response() * response_fraction * endpoint_share);
}

void SlowStart::spend(EndpointRecord& record) const {
  if (warm_fraction(record) >= 1) return;
  record.slow_start.by_rate.spend();
  record.slow_start.by_responses.spend();
}

// The fraction of its full capacity that the settings assure for an endpoint of this age.
double SlowStart::warm_fraction(const EndpointRecord& record) const {
  const Settings& settings = state_.settings;
  if (record.advertised.started_at == 0 || settings.slow_start_duration <= 0) return 1;
  const Seconds age = std::max(0.0, state_.now - record.advertised.started_at);
  const double initial = settings.slow_start_capacity;
  return std::min(1.0, initial + (1 - initial) * age / settings.slow_start_duration);
}

// The fraction of a warm endpoint's requests that an endpoint that is warming up may get. The fraction
// increases if the endpoint responds as quickly as others, since under load an endpoint warms up sooner than
// is assured.
double SlowStart::budget_fraction(const EndpointRecord& record, double warm_fraction) const {
  const TrafficStatistics& traffic = state_.traffic;
  const double samples = record.latency.at(state_.now).weight;
  const double idle = traffic.idle_latency_fraction.is_learned() ? traffic.idle_latency_fraction.value()
                                                                 : kMaxIdleLatencyFraction;
  const double relative_to_idle =
      state_.outliers.relative_latency(record, state_.now) * std::max(1.0, traffic.latency.mean / idle);
  const double trust = std::clamp(2 - relative_to_idle, 0.0, 1.0) * (samples / (kPriorSamples + samples));
  return std::min(1.0, warm_fraction * state_.settings.overload_multiple * kRateBudgetFraction *
                           (1 + kTrustFactor * trust));
}

// Adds tokens for the time that has passed and for the responses that have arrived, and returns whether both
// buckets have a token. The responses limit the budget if more requests arrive than the tier can serve, as in
// a burst or with more replicas than configured.
bool SlowStart::refill(SlowStartBudget& budget, double rate, double tokens_per_response) const {
  const double max_tokens = 1 + rate * state_.settings.overload_window * kBurstFraction;
  const auto responses = static_cast<double>(state_.traffic.response_count - budget.counted_responses);
  const double from_responses =
      std::isinf(tokens_per_response) ? max_tokens : responses * tokens_per_response;
  budget.by_rate.add((state_.now - budget.refilled_at) * rate, max_tokens);
  budget.by_responses.add(from_responses, max_tokens);
  budget.refilled_at = state_.now;
  budget.counted_responses = state_.traffic.response_count;
  return budget.by_rate.has_token() && budget.by_responses.has_token();
}

// Measures only once for each event, since a selection checks every endpoint that is warming up.
double SlowStart::capacity_per_response() {
  if (measured_at_ == state_.now) return capacity_per_response_;
  measured_at_ = state_.now;
  capacity_per_response_ = measure_capacity_per_response();
  return capacity_per_response_;
}

// The number of responses that this replica's share of the tier would give, if all its endpoints were warm
// and healthy, for each response that it gives now. Endpoints that are warming up count with their assured
// capacity. Infinite if no endpoint is warm, since the responses then do not show the capacity of the tier.
double SlowStart::measure_capacity_per_response() const {
  double total = 0;
  double assured = 0;
  double healthy = 0;
  bool any_warm = false;
  for (const std::uint32_t slot : state_.subset.fixed_sample()) {
    const EndpointRecord& record = state_.endpoints[slot];
    const double weight = record.advertised.weight;
    const double warm = warm_fraction(record);
    total += weight;
    assured += weight * warm;
    if (warm < 1 || !state_.outliers.is_outlier(record, state_.now)) healthy += weight * warm;
    any_warm = any_warm || warm >= 1;
  }
  if (!any_warm) return kInfinity;
  return total / (healthy > 0 ? healthy : assured);
}

}  // namespace asterdrift::balancer
