// Which settings can be used at all.
#include <stdexcept>
#include <string>

#include "balancer/replica_state.h"

namespace asterdrift::balancer {
namespace {

void require(bool good, const std::string& message) {
  if (!good) throw std::invalid_argument("settings: " + message);
}

void require_not_negative(std::initializer_list<std::pair<const char*, double>> fields) {
  for (const auto& [name, value] : fields) require(value >= 0, std::string(name) + " must not be negative");
}

void validate(const RequestClass& c) {
  require(c.idempotency >= Idempotency::kIdempotent && c.idempotency <= Idempotency::kNotIdempotent,
          "classes[].idempotency is unknown");
  require(c.dedup_scope >= DedupScope::kAll && c.dedup_scope <= DedupScope::kCell,
          "classes[].dedup_scope is unknown");
  require_not_negative({{"classes[].latency_objective", c.latency_objective},
                        {"classes[].latency_objective_per_work", c.latency_objective_per_work},
                        {"classes[].timeout", c.timeout},
                        {"classes[].dedup_window", c.dedup_window}});
}

}  // namespace

Settings validated(Settings s) {
  require(s.replica_count > 0, "replica_count must be above 0");
  require(s.replica_index >= 0 && s.replica_index < s.replica_count,
          "replica_index must be from 0 to replica_count - 1");
  require(s.max_attempts > 0, "max_attempts must be above 0");
  require(s.slow_start_capacity >= 0 && s.slow_start_capacity <= 1,
          "slow_start_capacity must be from 0 to 1");
  require(s.overload_multiple > 0, "overload_multiple must be above 0");
  require_not_negative({{"tier", static_cast<double>(s.tier)},
                        {"clock_granularity", s.clock_granularity},
                        {"max_retry_after", s.max_retry_after},
                        {"poll_within", s.poll_within},
                        {"slow_start_duration", s.slow_start_duration},
                        {"overload_window", s.overload_window},
                        {"over_quota_priority_weight", s.over_quota_priority_weight}});
  for (const RequestClass& c : s.classes) validate(c);
  for (const Tenant& t : s.tenants) require_not_negative({{"tenants[].quota", t.quota.value_or(0)}});
  s.classes.emplace_back();
  s.classes.back().timeout = s.classes.back().latency_objective = kInfinity;
  s.tenants.emplace_back();
  return s;
}

}  // namespace asterdrift::balancer
