// Checks the range of each setting.
#include "balancer/settings_validation.h"

#include <array>
#include <cstdio>
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

std::string to_text(double number) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.10g", number);
  return text.data();
}

void require(bool condition, const Field& field, const std::string& expected) {
  if (condition) return;
  throw std::invalid_argument(std::string("settings: ") + field.name + " is " + to_text(field.value) +
                              "; expected " + expected);
}

void require_positive(const Field& field) { require(field.value > 0, field, "a number above 0"); }

void require_not_negative(std::initializer_list<Field> fields) {
  for (const Field& field : fields) {
    require(field.value >= 0, field, "0 or more");
  }
}

void validate(const RequestClass& request_class) {
  require(request_class.idempotency >= Idempotency::kIdempotent &&
              request_class.idempotency <= Idempotency::kNotIdempotent,
          {"classes[].idempotency", static_cast<double>(request_class.idempotency)},
          "a value of enum Idempotency");
  require(request_class.dedup_scope >= DedupScope::kAll && request_class.dedup_scope <= DedupScope::kCell,
          {"classes[].dedup_scope", static_cast<double>(request_class.dedup_scope)},
          "a value of enum DedupScope");
  require_not_negative({{"classes[].latency_objective", request_class.latency_objective},
                        {"classes[].latency_objective_per_work", request_class.latency_objective_per_work},
                        {"classes[].timeout", request_class.timeout},
                        {"classes[].dedup_window", request_class.dedup_window}});
}

void validate(const Tenant& tenant) { require_not_negative({{"tenants[].quota", tenant.quota.value_or(0)}}); }

void validate(const Settings& settings) {
  require_positive({"replica_count", static_cast<double>(settings.replica_count)});
  require(settings.replica_index >= 0 && settings.replica_index < settings.replica_count,
          {"replica_index", static_cast<double>(settings.replica_index)},
          "a number from 0 to replica_count - 1, which is " + std::to_string(settings.replica_count - 1));
  require_positive({"max_attempts", static_cast<double>(settings.max_attempts)});
  require(settings.slow_start_capacity >= 0 && settings.slow_start_capacity <= 1,
          {"slow_start_capacity", settings.slow_start_capacity}, "a number from 0 to 1");
  require_positive({"overload_multiple", settings.overload_multiple});
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
