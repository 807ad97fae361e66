#include "json/settings_reader.h"

#include <stdexcept>
#include <string>

namespace asterdrift::json {
namespace {

balancer::RequestClass read_class(const Json& in) {
  using balancer::DedupScope;
  using balancer::Idempotency;
  balancer::RequestClass out;
  out.latency_objective = number(in, "aim");
  out.latency_objective_per_work = number_or(in, "aimStretch", 0);
  out.timeout = number(in, "giveUp");
  out.late_priority_weight = number_or(in, "lateWorth", 0);
  const std::string_view effect = string(in, "effect");
  if (effect == "safe") {
    out.idempotency = Idempotency::kIdempotent;
  } else if (effect == "keyed") {
    out.idempotency = Idempotency::kIdempotencyKey;
    const std::string_view group = string(in, "group");
    if (group == "all") {
      out.dedup_scope = DedupScope::kAll;
    } else if (group == "zone") {
      out.dedup_scope = DedupScope::kZone;
    } else if (group == "cell") {
      out.dedup_scope = DedupScope::kCell;
    } else {
      throw std::invalid_argument("categories[].group: '" + std::string(group) + "' is unknown");
    }
    out.dedup_window = number_or(in, "dedupWindow", 0);
  } else if (effect == "unsafe") {
    out.idempotency = Idempotency::kNotIdempotent;
  } else {
    throw std::invalid_argument("categories[].effect: '" + std::string(effect) + "' is unknown");
  }
  return out;
}

}  // namespace

balancer::Settings read_settings(const Json& in) {
  balancer::Settings out;
  out.replica_index = integer(in, "position");
  out.replica_count = integer(in, "peersTotal");
  out.tier = integer_or(in, "stage", 0);
  out.zone = integer_or(in, "zone", 0);
  out.clock_granularity = number_or(in, "granularity", 0);
  for (const Json& item : array(in, "categories").GetArray()) out.classes.push_back(read_class(item));
  if (find(in, "realms") != nullptr) {
    for (const Json& item : array(in, "realms").GetArray()) {
      balancer::Tenant tenant;
      if (find(item, "allowancePerS") != nullptr) tenant.quota = number(item, "allowancePerS");
      out.tenants.push_back(tenant);
    }
  }
  out.over_quota_priority_weight = number_or(in, "overShareWorth", 1);
  const Json& bounds = require(in, "bounds");
  out.max_attempts = integer_or(bounds, "maxAttempts", 1);
  out.hedging_allowed = flag(bounds, "secondCopies");
  out.cancel_allowed = flag(bounds, "cancel");
  out.max_retry_after = flag(bounds, "retryAfter") ? number_or(bounds, "maxRetryAfter", 0) : 0;
  out.requires_watch = find(in, "registryMode") != nullptr && string(in, "registryMode") == "subscribe";
  if (const Json* rules = find(in, "rules")) {
    out.poll_within = number_or(*rules, "askWithin", 0);
    out.slow_start_capacity = number_or(*rules, "startCapacity", 1);
    out.slow_start_duration = number_or(*rules, "rampTime", 0);
    out.overload_multiple = number_or(*rules, "tipMultiple", out.overload_multiple);
    out.overload_window = number_or(*rules, "tipAfter", out.overload_window);
  }
  if (const Json* fees = find(in, "fees")) out.cross_zone_cost = number_or(*fees, "crossZone", 0);
  return out;
}

}  // namespace asterdrift::json
