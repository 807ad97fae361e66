#include "node/downstream/receive_rate_monitor.h"

#include <utility>

namespace asterdrift::node::downstream {
namespace {

// A time after the head that is allowed for the body in addition to the time that the minimum rate gives.
constexpr Seconds kBodyGracePeriod = 0.7;
constexpr double kMinBodyBytesPerSecond = 40e3;

}  // namespace

void ReceiveRateMonitor::begin(Seconds now) {
  *this = {};
  began_at_ = now;
}

void ReceiveRateMonitor::resume(Seconds now) {
  if (is_paused()) total_pause_ += now - std::exchange(paused_at_, 0);
}

Seconds ReceiveRateMonitor::receive_deadline() const {
  if (is_in_head()) return 0;
  return head_received_at_ + total_pause_ + kBodyGracePeriod +
         static_cast<double>(body_bytes_) / kMinBodyBytesPerSecond;
}

}  // namespace asterdrift::node::downstream
