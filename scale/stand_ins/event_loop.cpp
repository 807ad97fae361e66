// Running an event loop until a condition holds.
#include "scale/stand_ins/event_loop.h"

#include <chrono>

#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr std::chrono::milliseconds kCheckPeriod{50};  // of the limit, while no event comes

}  // namespace

bool run_until(boost::asio::io_context& io, double limit_s, const std::function<bool()>& condition) {
  const test_support::Stopwatch stopwatch;
  while (!condition()) {
    if (stopwatch.seconds() > limit_s) return false;
    io.restart();
    io.run_one_for(kCheckPeriod);
  }
  return true;
}

void run_for(boost::asio::io_context& io, double duration_s) {
  run_until(io, duration_s, [] { return false; });
}

}  // namespace asterdrift::scale
