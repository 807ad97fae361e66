// Which settings can be used at all.
#include <stdexcept>
#include <string>

#include "support.h"

namespace asterdrift::balancer {
namespace {

void require(bool good, const char* field) {
  if (!good) throw std::invalid_argument(std::string("settings: ") + field);
}

}  // namespace

void validate(const Settings& s) {
  require(s.replica_count > 0, "replica_count must be above 0");
  require(s.replica_index >= 0 && s.replica_index < s.replica_count,
          "replica_index must be from 0 to replica_count - 1");
  require(s.tier >= 0, "tier must not be negative");
  require(s.clock_granularity >= 0, "clock_granularity must not be negative");
  require(s.max_attempts > 0, "max_attempts must be above 0");
  require(s.max_retry_after >= 0, "max_retry_after must not be negative");
  require(s.poll_within >= 0, "poll_within must not be negative");
  require(s.slow_start_duration >= 0, "slow_start_duration must not be negative");
  require(s.slow_start_capacity >= 0 && s.slow_start_capacity <= 1,
          "slow_start_capacity must be from 0 to 1");
  require(s.overload_multiple > 0, "overload_multiple must be above 0");
  require(s.overload_window >= 0, "overload_window must not be negative");
  require(s.over_quota_priority_weight >= 0, "over_quota_priority_weight must not be negative");
  for (const RequestClass& c : s.classes) {
    require(c.idempotency >= Idempotency::kIdempotent && c.idempotency <= Idempotency::kNotIdempotent,
            "classes[].idempotency is unknown");
    require(c.dedup_scope >= DedupScope::kAll && c.dedup_scope <= DedupScope::kCell,
            "classes[].dedup_scope is unknown");
    require(c.latency_objective >= 0, "classes[].latency_objective must not be negative");
    require(c.latency_objective_per_work >= 0, "classes[].latency_objective_per_work must not be negative");
    require(c.timeout >= 0, "classes[].timeout must not be negative");
    require(c.dedup_window >= 0, "classes[].dedup_window must not be negative");
  }
  for (const Tenant& t : s.tenants) {
    require(!t.quota || *t.quota >= 0, "tenants[].quota must not be negative");
  }
}

}  // namespace asterdrift::balancer
