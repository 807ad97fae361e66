// The node's clock, and conversions between its times and those of other clocks.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "asterdrift/seconds.h"

namespace asterdrift::node::timing {

// The current time on the steady clock, which is the clock of the balancer's times.
Seconds now();

// Converts a Unix time in milliseconds to the steady clock. 0 means long ago and stays 0. The offset between
// the clocks is measured only once per process: if it were measured again for each endpoint list, an
// unchanged start time would have a different result each time, and look like a restart of the server.
Seconds to_steady_time(double unix_ms);

// Conversions for timers. A negative duration becomes 0.
std::chrono::nanoseconds to_duration(Seconds duration);
boost::asio::steady_timer::time_point to_time_point(Seconds steady_time);

}  // namespace asterdrift::node::timing
