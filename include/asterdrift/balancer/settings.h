// The settings of one load balancer replica.
//
// All durations are in seconds.
#pragma once

#include <optional>
#include <vector>

namespace asterdrift::balancer {

// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,      // always
  kIdempotencyKey,  // within the scope and the window in which servers deduplicate by key
  kNotIdempotent    // never
};

// For requests with an idempotency key: the servers that share one deduplication cache.
enum class DedupScope { kAll, kZone, kCell };

// A class of requests with common latency and retry rules.
struct RequestClass {
  double latency_objective = 0;           // s; a response within this time earns its full priority weight
  double latency_objective_per_work = 0;  // the objective grows by this many times the announced work
  double timeout = 0;                     // s; for all attempts together, and an upper bound of the objective
  double late_priority_weight = 0;        // fraction of the weight that a response after the objective earns
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  double dedup_window = 0;  // s; duplicates are dropped for this long after the first send that may have run
};

// A tenant, identified by its index in Settings::tenants.
struct Tenant {
  std::optional<double> quota;  // requests per second over all replicas; none: not limited by contract
};

// The settings of one replica.
struct Settings {
  int replica_index = 0;         // this replica's number, 0 .. replica_count - 1
  int replica_count = 1;         // replicas of the load balancer that send to this tier
  int tier = 0;                  // the tier of servers this replica sends to; clients reach tier 0 first
  int zone = 0;                  // the zone this replica runs in
  double clock_granularity = 0;  // s; events come at least this far apart
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  // empty where traffic is not split by tenant

  double over_quota_priority_weight = 1;  // of a request beyond its tenant's quota, relative to one within it

  int max_attempts = 1;          // attempts allowed for one request
  bool hedging_allowed = false;  // two attempts of one request may be open at the same time
  bool cancel_allowed = false;   // CancelAttempt may be used
  double max_retry_after = 0;    // s; the longest Retry-After that clients respect; 0: none is sent

  bool requires_watch = false;  // endpoint updates arrive only after WatchEndpoints
  double poll_within = 0;       // s; without a watch, an update counts as notified after this time

  double slow_start_capacity = 1;  // a starting server has at least this fraction of its capacity
  double slow_start_duration = 0;  // s; after this time it has all of it
  // A starting server fails where all replicas together send it `overload_multiple` times its current
  // capacity for `overload_window` seconds.
  double overload_multiple = 3;
  double overload_window = 2;

  double cross_zone_cost = 0;  // cost of a request to another zone; 0: zones are not preferred
};

}  // namespace asterdrift::balancer
