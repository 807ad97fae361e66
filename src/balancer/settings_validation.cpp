// The range of each setting.
#include "balancer/settings_validation.h"

#include <initializer_list>
#include <stdexcept>
#include <string>

#include "balancer/traffic_statistics.h"

namespace asterdrift::balancer {
namespace {

// A number of the settings, and its name in messages.
struct Field {
  const char* name;
  double value;
};

void require(bool condition, const std::string& message) {
  if (!condition) throw std::invalid_argument("settings: " + message);
}

void require_not_negative(std::initializer_list<Field> fields) {
  for (const Field& field : fields) {
    require(field.value >= 0, std::string(field.name) + " must not be negative");
  }
}

void validate(const RequestClass& request_class) {
  require(request_class.idempotency >= Idempotency::kIdempotent &&
              request_class.idempotency <= Idempotency::kNotIdempotent,
          "classes[].idempotency is unknown");
  require(request_class.dedup_scope >= DedupScope::kAll && request_class.dedup_scope <= DedupScope::kCell,
          "classes[].dedup_scope is unknown");
  require_not_negative({{"classes[].latency_objective", request_class.latency_objective},
                        {"classes[].latency_objective_per_work", request_class.latency_objective_per_work},
                        {"classes[].timeout", request_class.timeout},
                        {"classes[].dedup_window", request_class.dedup_window}});
}

void validate(const Tenant& tenant) { require_not_negative({{"tenants[].quota", tenant.quota.value_or(0)}}); }

void validate(const Settings& settings) {
  require(settings.replica_count > 0, "replica_count must be above 0");
  require(settings.replica_index >= 0 && settings.replica_index < settings.replica_count,
          "replica_index must be from 0 to replica_count - 1");
  require(settings.max_attempts > 0, "max_attempts must be above 0");
  require(settings.slow_start_capacity >= 0 && settings.slow_start_capacity <= 1,
          "slow_start_capacity must be from 0 to 1");
  require(settings.overload_multiple > 0, "overload_multiple must be above 0");
  require_not_negative({{"tier", static_cast<double>(settings.tier)},
                        {"clock_granularity", settings.clock_granularity},
                        {"max_retry_after", settings.max_retry_after},
                        {"poll_within", settings.poll_within},
                        {"slow_start_duration", settings.slow_start_duration},
                        {"overload_window", settings.overload_window},
                        {"over_quota_priority_weight", settings.over_quota_priority_weight}});
  for (const RequestClass& request_class : settings.classes) validate(request_class);
  for (const Tenant& tenant : settings.tenants) validate(tenant);
}

}  // namespace

Settings validated(Settings settings) {
  validate(settings);
  RequestClass out_of_range;
  out_of_range.timeout = kInfinity;
  out_of_range.latency_objective = kInfinity;
  settings.classes.push_back(out_of_range);
  settings.tenants.emplace_back();
  return settings;
}

}  // namespace asterdrift::balancer
