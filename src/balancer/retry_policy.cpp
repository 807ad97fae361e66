// Time-outs of attempts from the latency of their class, and the retry budget.
#include "balancer/retry_policy.h"

#include <algorithm>

namespace asterdrift::balancer {
namespace {

constexpr double kTimeoutDeviations = 6;      // over the mean latency
constexpr double kTokensPerResponse = 0.2;    // attempts earn none: tiers would multiply retries
constexpr double kMaxTokens = 5;              // retries
constexpr double kMaxInitialObjectiveS = 60;  // bounds the estimate of a class without an objective

}  // namespace

RetryPolicy::RetryPolicy(const ReplicaState& state) : state_(state), tokens_(kMaxTokens) {
  for (const RequestClass& request_class : state.settings.classes) {
    const double objective = std::min(request_class.latency_objective, kMaxInitialObjectiveS);
    latency_.push_back({objective / 4, objective / 8, 0});
  }
}

double RetryPolicy::attempt_timeout(const PendingRequest& request) const {
  const double time_left = request.deadline - state_.now;
  const support::SampledEstimate& latency = latency_[request.request_class];
  const double clearly_late = latency.mean + kTimeoutDeviations * latency.deviation;
  const bool can_retry = request.rules->idempotency != Idempotency::kNotIdempotent &&
                         request.attempts.size() + 1 < max_attempts();
  return can_retry && time_left - clearly_late > latency.mean ? clearly_late : time_left;
}

bool RetryPolicy::may_retry(const PendingRequest& request) const {
  if (request.streaming || request.body_consumed) return false;
  if (request.attempts.size() >= max_attempts()) return false;
  if (tokens_ < request.retry_cost()) return false;
  return request.deadline - state_.now > latency_[request.request_class].mean / 2;
}

bool RetryPolicy::may_reject(const PendingRequest& request) const {
  const RequestClass& rules = *request.rules;
  if (rules.idempotency == Idempotency::kIdempotent) return true;
  if (rules.idempotency == Idempotency::kIdempotencyKey && rules.dedup_scope == DedupScope::kAll) return true;
  return !request.may_have_run();
}

void RetryPolicy::spend(const PendingRequest& request) { tokens_ -= request.retry_cost(); }

void RetryPolicy::earn() { tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerResponse); }

void RetryPolicy::record_latency(std::size_t request_class, double elapsed) {
  latency_[request_class].add(elapsed, kLatencyGain);
}

std::size_t RetryPolicy::max_attempts() const {
  return static_cast<std::size_t>(state_.settings.max_attempts);
}

}  // namespace asterdrift::balancer
