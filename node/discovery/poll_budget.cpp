#include "node/discovery/poll_budget.h"

#include <algorithm>

namespace asterdrift::node::discovery {
namespace {

// A wait with jitter is between half and all of it.
double jittered(double wait, double jitter) { return wait * (0.5 + jitter / 2); }

}  // namespace

void PollBudget::charge(double now, std::size_t bytes, double jitter, ChargeReason reason) {
  const double refilled = std::min(kBurstBytes, bytes_left_ + (now - updated_at_) * kBytesPerSecond);
  bytes_left_ = refilled - static_cast<double>(bytes);
  updated_at_ = now;
  if (!is_exhausted()) return;
  const double wait = -bytes_left_ / kBytesPerSecond * (1 + jitter / 2);
  defer_until(now +
              (reason == ChargeReason::kInvalid ? wait : std::min(wait, jittered(kMaxBackoff, jitter))));
}

void PollBudget::record_invalid_list(double now, double jitter) {
  backoff_ = std::min(std::max(backoff_ * 2, kInitialBackoff), kMaxBackoff);
  defer_until(now + jittered(backoff_, jitter));
}

double PollBudget::poll_delay(double now) const { return std::max(0.0, not_before_ - now); }

void PollBudget::allow_immediate_poll() {
  backoff_ = 0;
  not_before_ = 0;
}

void PollBudget::defer_until(double time) { not_before_ = std::max(not_before_, time); }

}  // namespace asterdrift::node::discovery
