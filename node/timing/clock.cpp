#include "node/timing/clock.h"

#include <algorithm>
#include <cstdint>

namespace asterdrift::node::timing {
namespace {

constexpr double kNanosecondsPerSecond = 1e9;

template <class Clock>
double seconds_of() {
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

}  // namespace

double now() { return seconds_of<std::chrono::steady_clock>(); }

double steady_time_of_unix_ms(double unix_ms) {
  static const double kOffset = now() - seconds_of<std::chrono::system_clock>();
  return unix_ms == 0 ? 0 : unix_ms / 1000 + kOffset;
}

std::chrono::nanoseconds duration_of(double seconds) {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(std::max(0.0, seconds) * kNanosecondsPerSecond));
}

boost::asio::steady_timer::time_point time_point_of(double steady_seconds) {
  return boost::asio::steady_timer::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double>(steady_seconds)));
}

}  // namespace asterdrift::node::timing
