// The settings of one load balancer replica.
#pragma once

#include <optional>
#include <vector>

#include "asterdrift/seconds.h"

namespace asterdrift::balancer {

// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,      // may be executed any number of times
  kIdempotencyKey,  // may be repeated within the scope and window in which servers deduplicate by key
  kNotIdempotent    // must not be executed more than once
};

// For requests with an idempotency key: the servers that share one deduplication cache.
enum class DedupScope { kAll, kZone, kCell };

// A class of requests with common latency and retry rules.
struct RequestClass {
  Seconds latency_objective = 0;          // a response within this time earns its full priority weight
  double latency_objective_per_work = 0;  // the objective grows by this many times the announced work
  // Time limit for all attempts of a request together, and an upper bound of the objective.
  Seconds timeout = 0;
  double late_priority_weight = 0;  // fraction of the weight that a response after the objective earns
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  // Servers drop duplicates for this long, counted from when the first attempt was sent that may have been
  // executed.
  Seconds dedup_window = 0;
};

// A tenant, identified by its index in Settings::tenants.
struct Tenant {
  std::optional<double> quota;  // requests per second over all replicas; none: not limited by contract
};

// The settings of one replica.
struct Settings {
  int replica_index = 0;          // number of this replica, 0 .. replica_count - 1
  int replica_count = 1;          // number of replicas of the load balancer that send to this tier
  int tier = 0;                   // the tier of servers this replica sends to; clients reach tier 0 first
  int zone = 0;                   // the zone this replica runs in
  Seconds clock_granularity = 0;  // events come at least this far apart
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  // empty if traffic is not split by tenant

  // Priority weight of a request beyond its tenant's quota, relative to one within the quota.
  double over_quota_priority_weight = 1;

  int max_attempts = 1;          // attempts allowed for one request
  bool hedging_allowed = false;  // two attempts of one request may be open at the same time
  bool cancel_allowed = false;   // CancelAttempt may be used
  Seconds max_retry_after = 0;   // the longest Retry-After that clients respect; 0: none is sent

  bool requires_watch = false;  // endpoint updates arrive only after WatchEndpoints
  Seconds poll_within = 0;      // without a watch, a replica counts as notified of an update after this time

  double slow_start_capacity = 1;   // a starting server has at least this fraction of its capacity
  Seconds slow_start_duration = 0;  // a server has its full capacity this long after its start
  // A starting server fails if all replicas together send it `overload_multiple` times its current capacity
  // for a time of `overload_window`.
  double overload_multiple = 3;
  Seconds overload_window = 2;

  double cross_zone_cost = 0;  // cost of a request to another zone; 0: no zone is preferred
};

}  // namespace asterdrift::balancer
