// Derives the timeouts of attempts from the latency of the request's class, and keeps the retry budget.
#include "balancer/retry_policy.h"

#include <algorithm>

namespace asterdrift::balancer {
namespace {

// A response is clearly late this many mean deviations after the mean latency.
constexpr double kTimeoutDeviations = 6;
// Only successful responses earn retries. If attempts earned retries, each tier would multiply the retries of
// the tiers above.
constexpr double kTokensPerResponse = 0.2;
constexpr double kMaxTokens = 5;              // one token pays for one retry
constexpr Seconds kMaxInitialObjective = 60;  // bounds the initial estimate of a class without an objective

}  // namespace

RetryPolicy::RetryPolicy(const ReplicaState& state) : state_(state), retry_tokens_(kMaxTokens) {
  for (const RequestClass& request_class : state.settings.classes) {
    const Seconds objective = std::min(request_class.latency_objective, kMaxInitialObjective);
    latency_.push_back({objective / 4, objective / 8, 0});
  }
}

Seconds RetryPolicy::attempt_timeout(const PendingRequest& request) const {
  const Seconds time_left = request.deadline - state_.now;
  const support::SampledEstimate& latency = latency_[request.request_class];
  const Seconds clearly_late = latency.mean + kTimeoutDeviations * latency.deviation;
  const bool can_retry = request.rules->idempotency != Idempotency::kNotIdempotent &&
                         request.attempts.size() + 1 < max_attempts();
  return can_retry && time_left - clearly_late > latency.mean ? clearly_late : time_left;
}

bool RetryPolicy::may_retry(const PendingRequest& request) const {
  if (request.streaming || request.body_consumed) return false;
  if (request.attempts.size() >= max_attempts()) return false;
  if (retry_tokens_ < request.retry_cost()) return false;
  return request.deadline - state_.now > latency_[request.request_class].mean / 2;
}

bool RetryPolicy::may_reject(const PendingRequest& request) const {
  const RequestClass& rules = *request.rules;
  if (rules.idempotency == Idempotency::kIdempotent) return true;
  if (rules.idempotency == Idempotency::kIdempotencyKey && rules.dedup_scope == DedupScope::kAll) return true;
  return !request.may_have_run();
}

void RetryPolicy::record_retry(const PendingRequest& request) { retry_tokens_ -= request.retry_cost(); }

void RetryPolicy::record_success() {
  retry_tokens_ = std::min(kMaxTokens, retry_tokens_ + kTokensPerResponse);
}

void RetryPolicy::record_latency(std::size_t request_class, Seconds elapsed) {
  latency_[request_class].add(elapsed, kLatencyGain);
}

std::size_t RetryPolicy::max_attempts() const {
  return static_cast<std::size_t>(state_.settings.max_attempts);
}

}  // namespace asterdrift::balancer
