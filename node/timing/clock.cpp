// Reads the steady clock, and converts Unix times to it and Seconds to the types of timers.
#include "node/timing/clock.h"

#include <algorithm>
#include <cstdint>

#include "node/timing/unix_time.h"

namespace asterdrift::node::timing {
namespace {

constexpr double kNanosecondsPerSecond = 1e9;

template <class Clock>
Seconds seconds_since_epoch() {
  return std::chrono::duration<Seconds>(Clock::now().time_since_epoch()).count();
}

}  // namespace

Seconds now() { return seconds_since_epoch<std::chrono::steady_clock>(); }

Seconds to_steady_time(double unix_ms) {
  static UnixTimeConverter converter;
  return converter.to_steady(unix_ms, now(), seconds_since_epoch<std::chrono::system_clock>());
}

std::chrono::nanoseconds to_duration(Seconds duration) {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(std::max(0.0, duration) * kNanosecondsPerSecond));
}

boost::asio::steady_timer::time_point to_time_point(Seconds steady_time) {
  return boost::asio::steady_timer::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<Seconds>(steady_time)));
}

}  // namespace asterdrift::node::timing
