// The clocks of a node.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace asterdrift::node::timing {

// The steady clock in seconds, as the balancer counts time.
double now();

// The time on that clock of a Unix time in milliseconds. 0 stays 0 (long ago). The offset between the clocks
// is taken once: with a new one for each list the same start would get new times, and the balancer would take
// each for a restart.
double steady_time_of_unix_ms(double unix_ms);

// For timers; negative durations count as 0.
std::chrono::nanoseconds duration_of(double seconds);
boost::asio::steady_timer::time_point time_point_of(double steady_seconds);

}  // namespace asterdrift::node::timing
