// The node's clock, and conversions between its times and those of other clocks.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "asterdrift/seconds.h"

namespace asterdrift::node::timing {

// The current time on the steady clock. The balancer's times are on the same clock.
Seconds now();

// Converts a Unix time in milliseconds to the steady clock. 0 means long ago and stays 0. See
// UnixTimeConverter.
Seconds to_steady_time(double unix_ms);

// Converts a duration to the type that timers take. A negative duration becomes 0.
std::chrono::nanoseconds to_duration(Seconds duration);
// Converts a time on the steady clock to the type that timers take.
boost::asio::steady_timer::time_point to_time_point(Seconds steady_time);

}  // namespace asterdrift::node::timing
