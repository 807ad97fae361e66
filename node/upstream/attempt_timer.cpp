// Computes the time limits of an attempt.
#include "node/upstream/attempt_timer.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::node::upstream {
namespace {

using timing::now;

// How long a response of unknown length is buffered before it is streamed.
constexpr Seconds kMaxBufferingTime = 0.1;
constexpr double kMinRemainingMs = 1;
constexpr double kMsPerSecond = 1000;

}  // namespace

void AttemptTimer::begin(Seconds began_at, Seconds timeout, Seconds write_timeout) {
  timeout_ = timeout;
  timeout_at_ = began_at + timeout;
  write_deadline_ = began_at + write_timeout;
  buffer_until_ = 0;
}

std::int64_t AttemptTimer::remaining_ms() const {
  const double remaining = std::floor((timeout_at_ - now()) * kMsPerSecond);
  return static_cast<std::int64_t>(std::max(remaining, kMinRemainingMs));
}

void AttemptTimer::begin_buffering() { buffer_until_ = now() + kMaxBufferingTime; }

}  // namespace asterdrift::node::upstream
