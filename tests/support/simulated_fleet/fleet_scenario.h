// Parameters of one run of a simulated fleet.
#pragma once

#include <cstdint>

#include "asterdrift/seconds.h"

namespace asterdrift::balancer {

// How a faulty server behaves.
enum class Fault {
  kNone,
  kRejecting,     // rejects every request
  kFailing,       // responds to every request with an error
  kUnresponsive,  // accepts requests but never responds, from shortly before FleetScenario::start_at on
  kSlow,          // takes FleetScenario::slowdown times as long
  kPausing,       // pauses for a short time every few seconds
  kUnreachable    // accepts no connection
};

// How the set of replicas changes while Settings::replica_count stays the configured number.
enum class ReplicaSetChange { kNone, kHalved, kDoubled, kReplaced };

// The servers, the load and the faults of one run. The starting servers start at `start_at`.
struct FleetScenario {
  int replicas = 30;
  int servers = 14;
  int starting_servers = 1;
  int tier = 0;
  double rate_per_weight = 20;  // capacity of a server of weight 1, in requests/s

  double load = 0.6;          // rate of arriving requests, as a fraction of the fleet's capacity
  double burst_factor = 1;    // multiplies the load during the burst
  Seconds burst_delay = 0.5;  // time from `start_at` to the beginning of the burst
  Seconds burst_duration = 6;
  double quota_fraction = 0.82;  // sum of all tenants' quotas, as a fraction of the fleet's capacity

  double slow_start_capacity = 0.14;
  Seconds slow_start_duration = 22;
  double overload_multiple = 3;
  Seconds overload_window = 2;

  Seconds start_at = 12;
  Seconds end_at = 26;
  bool restart_after_crash = false;  // the starting servers ran before and crashed; otherwise they are new
  // Shortest time from a server's start until a replica is notified of the start.
  Seconds min_notification_delay = 0.28;
  Seconds notification_spread = 2;  // longest random addition to the delay, drawn for each replica

  Fault fault = Fault::kNone;
  double faulty_fraction = 0;    // faulty fraction of the servers that run from the beginning
  double slowdown = 2;           // factor by which the service time of slow servers is longer
  bool shared_slowdown = false;  // all servers become slow at `start_at`
  ReplicaSetChange replica_set_change = ReplicaSetChange::kNone;

  // Probability that a client retries after a rejection or a failure.
  double client_retry_probability = 0.7;
  double work_coefficient_of_variation = 0.6;  // standard deviation of a request's work over its mean
  std::uint64_t seed = 1;
};

}  // namespace asterdrift::balancer
