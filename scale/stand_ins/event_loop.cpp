// Runs an event loop until a condition holds or a time has passed.
#include "scale/stand_ins/event_loop.h"

#include <chrono>

#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

// How often the time limit is checked while there are no events.
constexpr std::chrono::milliseconds kLimitCheckPeriod{50};

}  // namespace

bool run_until(boost::asio::io_context& io, Seconds time_limit, const std::function<bool()>& condition) {
  const test_support::Stopwatch stopwatch;
  while (!condition()) {
    if (stopwatch.seconds() > time_limit) return false;
    io.restart();
    io.run_one_for(kLimitCheckPeriod);
  }
  return true;
}

void run_for(boost::asio::io_context& io, Seconds duration) {
  run_until(io, duration, [] { return false; });
}

}  // namespace asterdrift::scale
