// Running an event loop until a condition holds.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace asterdrift::scale {

// Handles events until the condition holds. Returns whether it did so within the limit.
bool run_until(boost::asio::io_context& io, double limit_s, const std::function<bool()>& condition);

// Handles events for so long.
void run_for(boost::asio::io_context& io, double duration_s);

}  // namespace asterdrift::scale
