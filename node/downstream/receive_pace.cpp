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

double ReceivePace::too_slow_at() const {
  if (is_in_head()) return 0;
  return head_at_ + paused_for_ + kBodyGrace + static_cast<double>(body_bytes_) / kMinBytesPerSecond;
}

}  // namespace asterdrift::node::downstream
