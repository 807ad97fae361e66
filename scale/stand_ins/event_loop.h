// Runs an event loop until a condition holds or a time has passed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "asterdrift/seconds.h"

namespace asterdrift::scale {

// Handles events until the condition holds, at most for `time_limit`. Returns whether the condition held in
// time.
bool run_until(boost::asio::io_context& io, Seconds time_limit, const std::function<bool()>& condition);

// Handles events for `duration`.
void run_for(boost::asio::io_context& io, Seconds duration);

}  // namespace asterdrift::scale
