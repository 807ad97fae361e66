#include "node/downstream/receive_pace.h"

#include <utility>

namespace asterdrift::node::downstream {
namespace {

constexpr double kBodyGrace = 0.7;           // s after the head
constexpr double kMinBytesPerSecond = 40e3;  // of a body, after the grace

}  // namespace

void ReceivePace::begin(double now) {
  *this = {};
  began_at_ = now;
}

void ReceivePace::resume(double now) {
  if (is_paused()) paused_for_ += now - std::exchange(paused_at_, 0);
}

bool ReceivePace::is_too_slow(double now) const {
  if (is_in_head()) return true;
  const double allowed = kBodyGrace + static_cast<double>(body_bytes_) / kMinBytesPerSecond;
  return now - head_at_ - paused_for_ > allowed;
}

}  // namespace asterdrift::node::downstream
