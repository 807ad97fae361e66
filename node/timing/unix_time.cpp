// Keeps the offsets between the wall clock and the steady clock, and the times that have been converted.
#include "node/timing/unix_time.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace asterdrift::node::timing {
namespace {

constexpr double kMsPerSecond = 1000;
// Smaller changes of the offset come from the adjustment of the clocks' speed.
constexpr Seconds kMinStep = 0.5;
constexpr std::size_t kMaxOffsets = 8;
// Far more than the servers of a tier and their restarts.
constexpr std::size_t kMaxConverted = 65536;

}  // namespace

Seconds UnixTimeConverter::to_steady(double unix_ms, Seconds steady_now, Seconds unix_now) {
  if (unix_ms == 0) return 0;
  const Seconds offset = steady_now - unix_now;
  if (offsets_.empty() || std::abs(offset - offsets_.back()) > kMinStep) offsets_.push_back(offset);
  if (offsets_.size() > kMaxOffsets) offsets_.erase(offsets_.begin());
  if (const auto known = converted_.find(unix_ms); known != converted_.end()) return known->second;
  if (converted_.size() >= kMaxConverted) converted_.clear();
  return converted_[unix_ms] = convert(unix_ms, steady_now);
}

// Of the times that are not in the future, the latest one treats a server as starting for the longest time.
Seconds UnixTimeConverter::convert(double unix_ms, Seconds steady_now) const {
  Seconds time = unix_ms / kMsPerSecond + *std::ranges::min_element(offsets_);
  for (const Seconds offset : offsets_) {
    const Seconds possible_time = unix_ms / kMsPerSecond + offset;
    if (possible_time <= steady_now + kMinStep) time = std::max(time, possible_time);
  }
  return time;
}

}  // namespace asterdrift::node::timing
