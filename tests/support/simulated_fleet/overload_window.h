// Measures how close the load of starting servers comes to the load at which they fail.
#pragma once

#include <limits>

#include "asterdrift/seconds.h"
#include "support/simulated_fleet/simulated_server.h"

namespace asterdrift::balancer {

// The load that a starting server received within overload_window seconds, compared with a limit of
// N + 2 x sqrt(N) + 2. N is the load that the settings allow at that time.
struct OverloadWindow {
  double margin = std::numeric_limits<double>::infinity();  // `limit` minus `received`
  double received = 0;
  double limit = 0;
  Seconds time_since_start = 0;  // time from the server's start to the end of the window
};

// The load of all starting servers of a run. Each window is the one with the smallest margin. Windows in
// which a third or more of the load came from replicas that had not been notified of the start are left out.
struct SlowStartLoad {
  OverloadWindow attempts;  // N follows from the capacity in the middle of the window
  OverloadWindow work;      // like `attempts`, but counts the attempts' work in requests of mean work
  // Like `attempts`, but N follows from the capacity at the beginning of the window.
  OverloadWindow attempts_by_capacity_at_window_start;
  // Attempts within slow_start_duration after the start, or until end_at.
  double attempts_received = 0;
  double attempts_possible = 0;  // attempts possible with the capacity that the settings give
};

// Adds the load of one server to `load`, if the server started during the run.
void measure_slow_start(const SimulatedServer& server, const FleetScenario& scenario, SlowStartLoad& load);

}  // namespace asterdrift::balancer
