// What polling discovery may cost a node.
#pragma once

#include <algorithm>
#include <cstddef>

namespace asterdrift::node::discovery {

// A budget in bytes for all responses that were of no use, and a backoff after lists that were not valid.
// Calls that bring nothing (refused, silent) cost nothing here and are repeated soon. Notification within 6 s
// goes before the budget: only after lists that are not valid, where another call brings no news, is the wait
// longer.
class PollBudget {
 public:
  static constexpr double kBytesPerSecond = 29'000;    // for control, in the long run
  static constexpr double kBurst = 8.0 * 1024 * 1024;  // bytes; two snapshots of 27,000 endpoints, 4 MB each
  static constexpr double kFirstBackoff = 0.25;        // s, after a list that is not valid; then doubled
  // Lists may be valid again at any moment, so that this and a call that hangs stay under the 6 s after which
  // a change counts as notified. What costs more in the long run is limited by the bytes.
  static constexpr double kMaxBackoff = 3;  // s

  enum class Waste {
    kTruncated,  // the call failed or broke within a list
    kRepeated,   // a snapshot of what is known already
    kInvalid     // not a valid list
  };

  // Bytes have been received that were of no use. jitter: 0 to 1, keeps nodes from calling in step.
  void record_waste(double now, std::size_t bytes, double jitter, Waste waste) {
    const double refilled = std::min(kBurst, bytes_left_ + (now - updated_at_) * kBytesPerSecond);
    bytes_left_ = refilled - static_cast<double>(bytes);
    updated_at_ = now;
    if (!is_spent()) return;
    const double wait = -bytes_left_ / kBytesPerSecond * (1 + jitter / 2);
    const double longest = kMaxBackoff * (0.5 + jitter / 2);
    defer_until(now + (waste == Waste::kInvalid ? wait : std::min(wait, longest)));
  }

  // Whether more has been wasted than the budget holds.
  bool is_spent() const { return bytes_left_ < 0; }

  void record_invalid_list(double now, double jitter) {
    backoff_ = std::min(std::max(backoff_ * 2, kFirstBackoff), kMaxBackoff);
    defer_until(now + backoff_ * (0.5 + jitter / 2));
  }

  void record_valid_list() { backoff_ = 0; }

  // s; how long the next call has to wait.
  double wait(double now) const { return std::max(0.0, not_before_ - now); }

  // Discovery has moved to another address, which is called at once. What has been wasted stays counted.
  void allow_now() {
    backoff_ = 0;
    not_before_ = 0;
  }

 private:
  void defer_until(double time) { not_before_ = std::max(not_before_, time); }

  double bytes_left_ = kBurst, updated_at_ = 0;
  double backoff_ = 0, not_before_ = 0;
};

}  // namespace asterdrift::node::discovery
