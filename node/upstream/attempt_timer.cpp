#include "node/upstream/attempt_timer.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::node::upstream {
namespace {

using timing::now;

constexpr double kBufferTime = 0.1;    // s
constexpr double kStallTimeout = 15;   // s without a byte of a streamed body
constexpr double kMinRemainingMs = 1;  // ms
constexpr double kMsPerSecond = 1000;

}  // namespace

void AttemptTimer::begin(double began_at, double timeout, double write_within) {
  timeout_ = timeout;
  timeout_at_ = began_at + timeout;
  write_by_ = began_at + write_within;
  buffer_until_ = 0;
}

std::int64_t AttemptTimer::remaining_ms() const {
  const double remaining = std::floor((timeout_at_ - now()) * kMsPerSecond);
  return static_cast<std::int64_t>(std::max(remaining, kMinRemainingMs));
}

double AttemptTimer::stall_timeout_at(bool awaits_client) const {
  return (awaits_client ? now() : progress_at_) + kStallTimeout;
}

void AttemptTimer::begin_buffering() { buffer_until_ = now() + kBufferTime; }

}  // namespace asterdrift::node::upstream
