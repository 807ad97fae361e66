// Limits the bytes that a node receives from discovery without a usable list.
#pragma once

#include <cstddef>

namespace asterdrift::node::discovery {

// A budget in bytes for responses without a usable list, and a backoff after invalid lists. Polls that
// receive nothing are not charged, and are retried soon. Notification within poll_timeouts::kNotifiedAfter
// takes precedence over the budget, except after invalid lists, which another poll would only repeat.
class PollBudget {
 public:
  static constexpr double kBytesPerSecond = 29'000;  // refill
  static constexpr double kBurstBytes =
      8.0 * 1024 * 1024;                           // bytes; two snapshots of 27,000 endpoints, 4 MB each
  static constexpr double kInitialBackoff = 0.25;  // s, after a list that is not valid; then doubled
  // This backoff and one poll that hangs stay below poll_timeouts::kNotifiedAfter together.
  static constexpr double kMaxBackoff = 3;  // s

  enum class ChargeReason {
    kTruncated,  // the poll failed, or the stream ended within a list
    kRepeated,   // another snapshot
    kInvalid     // not a valid list
  };

  // Bytes have been received without a usable list. jitter: 0 to 1, so that nodes do not poll at the same
  // time.
  void charge(double now, std::size_t bytes, double jitter, ChargeReason reason);

  // Whether the budget is exhausted.
  bool is_exhausted() const { return bytes_left_ < 0; }

  void record_invalid_list(double now, double jitter);

  void record_valid_list() { backoff_ = 0; }

  // s until the next poll is allowed.
  double poll_delay(double now) const;

  // Allows a poll at once, as after a change of discovery's address. The bytes received stay charged.
  void allow_immediate_poll();

 private:
  void defer_until(double time);

  double bytes_left_ = kBurstBytes, updated_at_ = 0;
  double backoff_ = 0, not_before_ = 0;
};

}  // namespace asterdrift::node::discovery
