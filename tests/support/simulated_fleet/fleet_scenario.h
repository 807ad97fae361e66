// What happens in one run of a simulated fleet.
#pragma once

#include <cstdint>

namespace asterdrift::balancer {

// What is wrong with a faulty server.
enum class Fault {
  kNone,
  kRejecting,     // rejects every request
  kFailing,       // answers every request with an error
  kUnresponsive,  // accepts requests and answers none, from shortly before the start on
  kSlow,          // takes `slowdown` times as long
  kPausing,       // stops for a part of every few seconds
  kUnreachable    // accepts no connection
};

// How the set of replicas changes while the settings still name the configured number.
enum class ReplicaSetChange { kNone, kHalved, kDoubled, kReplaced };

// Times and durations in seconds. The starting servers start at `start_at`.
struct FleetScenario {
  int replicas = 30;
  int servers = 14;
  int starting_servers = 1;
  int tier = 0;
  double rate_per_weight = 20;  // requests/s that a server of weight 1 answers

  double load = 0.6;         // requests that arrive, as a fraction of the fleet's capacity
  double burst_factor = 1;   // the load is multiplied by this during the burst
  double burst_delay = 0.5;  // from the start of the servers to that of the burst
  double burst_duration = 6;
  double quota_fraction = 0.82;  // all tenants' quotas together, as a fraction of the fleet's capacity

  double slow_start_capacity = 0.14;
  double slow_start_duration = 22;
  double overload_multiple = 3;
  double overload_window = 2;

  double start_at = 12;
  double end_at = 26;
  bool restart_after_crash = false;  // the starting servers ran before and crashed; otherwise they are new
  double min_notification_delay = 0.28;  // from a start until a replica is notified of it
  double notification_spread = 2;        // each replica is notified up to so much later, at a time of its own

  Fault fault = Fault::kNone;
  double faulty_fraction = 0;    // of the servers that do not start, from the beginning of the run
  double slowdown = 2;           // factor by which slow servers are slower
  bool shared_slowdown = false;  // all servers become slow with the start
  ReplicaSetChange replica_set_change = ReplicaSetChange::kNone;

  double client_retry_probability = 0.7;  // after a rejection or a failure
  double work_variation = 0.6;            // standard deviation of a request's work over its mean
  std::uint64_t seed = 1;
};

}  // namespace asterdrift::balancer
