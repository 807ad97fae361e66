// The clocks of a node.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace asterdrift::node::timing {

// The steady clock in seconds, as the balancer counts time.
double now();

// Converts a Unix time in milliseconds to that clock. 0 stays 0 (long ago). The offset between the clocks is
// measured once: otherwise the same start time would change with each list, and look like a restart.
double steady_time_of_unix_ms(double unix_ms);

// For timers; negative durations count as 0.
std::chrono::nanoseconds duration_of(double seconds);
boost::asio::steady_timer::time_point time_point_of(double steady_seconds);

}  // namespace asterdrift::node::timing
