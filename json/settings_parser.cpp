// Maps the fields of the JSON format to the settings.
#include "json/settings_parser.h"

#include <stdexcept>
#include <string>
#include <vector>

namespace asterdrift::json {
namespace {

[[noreturn]] void throw_unknown(const std::string& field, std::string_view name,
                                const std::string& expected) {
  throw std::invalid_argument(field + " is '" + std::string(name) + "'; expected " + expected);
}

balancer::Idempotency parse_idempotency(const Json& category) {
  const std::string_view name = string(category, "effect");
  if (name == "safe") return balancer::Idempotency::kIdempotent;
  if (name == "keyed") return balancer::Idempotency::kIdempotencyKey;
  if (name == "unsafe") return balancer::Idempotency::kNotIdempotent;
  throw_unknown("categories[].effect", name, "safe, keyed or unsafe");
}

balancer::DedupScope parse_dedup_scope(const Json& category) {
  const std::string_view name = string(category, "group");
  if (name == "all") return balancer::DedupScope::kAll;
  if (name == "zone") return balancer::DedupScope::kZone;
  if (name == "cell") return balancer::DedupScope::kCell;
  throw_unknown("categories[].group", name, "all, zone or cell");
}

balancer::RequestClass parse_class(const Json& category) {
  balancer::RequestClass request_class;
  request_class.latency_objective = number(category, "aim");
  request_class.latency_objective_per_work = number_or(category, "aimStretch", 0);
  request_class.timeout = number(category, "giveUp");
  request_class.late_priority_weight = number_or(category, "lateWorth", 0);
  request_class.idempotency = parse_idempotency(category);
  if (request_class.idempotency == balancer::Idempotency::kIdempotencyKey) {
    request_class.dedup_scope = parse_dedup_scope(category);
    request_class.dedup_window = number_or(category, "dedupWindow", 0);
  }
  return request_class;
}

std::vector<balancer::RequestClass> parse_classes(const Json& object) {
  std::vector<balancer::RequestClass> classes;
  for (const Json& category : array(object, "categories").GetArray())
    classes.push_back(parse_class(category));
  return classes;
}

balancer::Tenant parse_tenant(const Json& realm) {
  balancer::Tenant tenant;
  if (find(realm, "allowancePerS") != nullptr) tenant.quota = number(realm, "allowancePerS");
  return tenant;
}

std::vector<balancer::Tenant> parse_tenants(const Json& object) {
  std::vector<balancer::Tenant> tenants;
  if (find(object, "realms") == nullptr) return tenants;
  for (const Json& realm : array(object, "realms").GetArray()) tenants.push_back(parse_tenant(realm));
  return tenants;
}

void parse_replica(const Json& object, balancer::Settings& settings) {
  settings.replica_index = integer(object, "position");
  settings.replica_count = integer(object, "peersTotal");
  settings.tier = integer_or(object, "stage", 0);
  settings.zone = integer_or(object, "zone", 0);
  settings.clock_granularity = number_or(object, "granularity", 0);
}

void parse_bounds(const Json& bounds, balancer::Settings& settings) {
  settings.max_attempts = integer_or(bounds, "maxAttempts", 1);
  settings.hedging_allowed = flag(bounds, "secondCopies");
  settings.cancel_allowed = flag(bounds, "cancel");
  settings.max_retry_after = flag(bounds, "retryAfter") ? number_or(bounds, "maxRetryAfter", 0) : 0;
}

bool parse_requires_watch(const Json& object) {
  return find(object, "registryMode") != nullptr && string(object, "registryMode") == "subscribe";
}

void parse_rules(const Json& rules, balancer::Settings& settings) {
  settings.poll_within = number_or(rules, "askWithin", 0);
  settings.slow_start_capacity = number_or(rules, "startCapacity", 1);
  settings.slow_start_duration = number_or(rules, "rampTime", 0);
  settings.overload_multiple = number_or(rules, "tipMultiple", settings.overload_multiple);
  settings.overload_window = number_or(rules, "tipAfter", settings.overload_window);
}

}  // namespace

balancer::Settings parse_settings(const Json& object) {
  balancer::Settings settings;
  parse_replica(object, settings);
  settings.classes = parse_classes(object);
  settings.tenants = parse_tenants(object);
  settings.over_quota_priority_weight = number_or(object, "overShareWorth", 1);
  parse_bounds(require(object, "bounds"), settings);
  settings.requires_watch = parse_requires_watch(object);
  if (const Json* rules = find(object, "rules")) parse_rules(*rules, settings);
  if (const Json* fees = find(object, "fees")) settings.cross_zone_cost = number_or(*fees, "crossZone", 0);
  return settings;
}

}  // namespace asterdrift::json
