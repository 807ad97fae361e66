// The settings of one load balancer replica.
//
// All durations are in seconds. The values come from the operators' configuration; the balancer has no
// defaults of its own beyond those below.
#pragma once

#include <optional>
#include <vector>

namespace asterdrift::balancer {

// What may happen when a request is executed more than once.
enum class Idempotency {
  kIdempotent,      // harmless
  kIdempotencyKey,  // harmless within the scope and window in which servers deduplicate by key
  kNotIdempotent    // never allowed
};

// For requests with an idempotency key: the servers that share one deduplication cache.
enum class DedupScope { kAll, kZone, kCell };

// A class of requests with common latency and retry rules.
struct RequestClass {
  double latency_objective = 0;           // s; a response within this time earns its full priority weight
  double latency_objective_per_work = 0;  // the objective grows by this many times the announced work
  double timeout = 0;  // s; the client waits this long in all, and the objective never exceeds it
  double late_priority_weight = 0;  // fraction of the weight that a response after the objective earns
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  double dedup_window = 0;  // s; duplicates are dropped for this long after the first send that may have run
};

struct Tenant {
  std::optional<double> quota;  // requests per second over all replicas; none: not limited by contract
};

struct Settings {
  int replica_index = 0;         // this replica's number, 0 .. replica_count - 1
  int replica_count = 1;         // replicas of the load balancer that send to this tier
  int tier = 0;                  // the tier of servers this replica sends to; clients reach tier 0 first
  int zone = 0;                  // the zone this replica runs in
  double clock_granularity = 0;  // s; events come at least this far apart
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  // empty where traffic is not split by tenant

  double over_quota_priority_weight = 1;  // weight of a request beyond its tenant's quota, against one within

  int max_attempts = 1;          // attempts allowed for one request
  bool hedging_allowed = false;  // two attempts of one request may be outstanding together
  bool cancel_allowed = false;   // CancelAttempt may be used
  double max_retry_after = 0;    // s; the longest Retry-After that clients follow; 0: none is sent

  bool requires_watch = false;  // endpoint updates arrive only after WatchEndpoints
  double poll_within = 0;       // s; without a watch, an update counts as notified after this long

  double slow_start_capacity = 1;  // a starting server has at least this fraction of its capacity
  double slow_start_duration = 0;  // s; and all of it after this long
  double overload_multiple = 3;    // sent this many times its current capacity by all replicas together,
  double overload_window = 2;      // s; for this long, a starting server fails

  double cross_zone_cost = 0;  // cost of a request to another zone; 0: zones are not preferred
};

}  // namespace asterdrift::balancer
