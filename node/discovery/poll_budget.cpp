#include "node/discovery/poll_budget.h"

#include <algorithm>
#include <limits>

#include "node/discovery/poll_timeouts.h"

namespace asterdrift::node::discovery {
namespace {

// Reduces a delay to between half and all of its length. jitter: from 0 to 1.
Seconds apply_jitter(Seconds delay, double jitter) { return delay * (0.5 + jitter / 2); }

}  // namespace

void PollBudget::charge(Seconds now, std::size_t bytes, double jitter, ChargeReason reason) {
  const double refilled_bytes =
      std::min(kBurstBytes, bytes_left_ + (now - bytes_updated_at_) * kBytesPerSecond);
  bytes_left_ = refilled_bytes - static_cast<double>(bytes);
  bytes_updated_at_ = now;
  if (!is_exhausted()) return;
  const Seconds refill_time = -bytes_left_ / kBytesPerSecond * (1 + jitter / 2);
  defer_until(now + std::min(refill_time, max_delay(reason, jitter)));
}

// How long an exhausted budget may defer the next poll.
Seconds PollBudget::max_delay(ChargeReason reason, double jitter) const {
  const bool is_invalid = reason == ChargeReason::kInvalid;
  if (is_invalid && !lists_are_pushed_) return std::numeric_limits<Seconds>::infinity();
  if (lists_are_pushed_ && !is_invalid) return poll_timeouts::kMaxAgentPollDelay;
  return apply_jitter(kMaxBackoff, jitter);
}

void PollBudget::record_invalid_list(Seconds now, double jitter) {
  backoff_ = std::min(std::max(backoff_ * 2, kInitialBackoff), kMaxBackoff);
  defer_until(now + apply_jitter(backoff_, jitter));
}

Seconds PollBudget::poll_delay(Seconds now) const { return std::max(0.0, next_poll_at_ - now); }

void PollBudget::allow_immediate_poll() {
  backoff_ = 0;
  next_poll_at_ = 0;
}

void PollBudget::defer_until(Seconds time) { next_poll_at_ = std::max(next_poll_at_, time); }

}  // namespace asterdrift::node::discovery
