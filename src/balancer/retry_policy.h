// How long an attempt may take, and which requests are retried.
#pragma once

#include <algorithm>
#include <vector>

#include "balancer/replica_state.h"
#include "balancer/request_state.h"

namespace asterdrift::balancer {

constexpr double kDeviations = 6;      // over the mean latency before an attempt times out
constexpr double kTokensEarned = 0.2;  // retries per response; per attempt, tiers would multiply them
constexpr double kMostTokens = 5;      // retries saved up
constexpr double kMostObjective = 60;  // s; bounds the estimate of a class without an objective

class RetryPolicy {
 public:
  explicit RetryPolicy(const ReplicaState& state) : state_(state) {
    for (const RequestClass& c : state.settings.classes) {
      const double objective = std::min(c.latency_objective, kMostObjective);
      latency_.push_back({objective / 4, objective / 8, 0});
    }
  }

  // s; until the response is worthless, or until it is clearly late while a retry can follow.
  double attempt_timeout(const PendingRequest& request) const {
    const double left = request.deadline - state_.now;
    const support::SampledEstimate& usual = latency_[request.request_class];
    const double longest = usual.mean + kDeviations * usual.deviation;
    const bool can_retry = request.rules->idempotency != Idempotency::kNotIdempotent &&
                           request.attempts.size() + 1 < max_attempts();
    return can_retry && left - longest > usual.mean ? longest : left;
  }

  bool may_retry(const PendingRequest& request) const {
    return !request.streaming && !request.body_consumed && request.attempts.size() < max_attempts() &&
           tokens_ >= request.retry_cost() &&
           request.deadline - state_.now > latency_[request.request_class].mean / 2;
  }

  // A rejection promises that a retry is harmless: nothing has run, or servers drop duplicates.
  bool may_reject(const PendingRequest& request) const {
    const RequestClass& c = *request.rules;
    if (c.idempotency == Idempotency::kIdempotent) return true;
    if (c.idempotency == Idempotency::kIdempotencyKey && c.dedup_scope == DedupScope::kAll) return true;
    return !request.may_have_run();
  }

  void spend(const PendingRequest& request) { tokens_ -= request.retry_cost(); }
  void earn() { tokens_ = std::min(kMostTokens, tokens_ + kTokensEarned); }
  void record_latency(std::size_t c, double elapsed) { latency_[c].add(elapsed, kLatencyGain); }

 private:
  std::size_t max_attempts() const { return static_cast<std::size_t>(state_.settings.max_attempts); }

  const ReplicaState& state_;
  std::vector<support::SampledEstimate> latency_;  // s, by class
  double tokens_ = kMostTokens;                    // retry budget
};

}  // namespace asterdrift::balancer
