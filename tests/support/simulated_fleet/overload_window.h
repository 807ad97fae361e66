// How close the load of starting servers comes to what they can bear.
#pragma once

#include <limits>

#include "support/simulated_fleet/simulated_server.h"

namespace asterdrift::balancer {

// What a starting server received within overload_window seconds, against what it bears: N + 2 x sqrt(N) + 2,
// N being the requests that the settings allow then.
struct OverloadWindow {
  double margin = std::numeric_limits<double>::infinity();  // what is bearable less what was received
  double received = 0;
  double bearable = 0;
  double since_start = 0;  // s
};

// The load of all starting servers of a run. The windows are the ones with the smallest margin; windows in
// which a third or more came from replicas that had not been notified of the start do not count.
struct SlowStartLoad {
  OverloadWindow attempts;                    // N by the capacity in the middle of the window
  OverloadWindow work;                        // the same in requests of mean work
  OverloadWindow attempts_from_window_start;  // attempts; N by the capacity at the beginning of the window
  double attempts_received = 0;               // within slow_start_duration after the start
  double attempts_possible = 0;               // in that time, with the capacity that the settings give
};

// Adds the load of one started server.
void measure_slow_start(const SimulatedServer& server, const FleetScenario& scenario, SlowStartLoad& load);

}  // namespace asterdrift::balancer
