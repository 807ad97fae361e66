// Limits the bytes that a node receives from discovery without a usable list.
#pragma once

#include <cstddef>

#include "asterdrift/seconds.h"

namespace asterdrift::node::discovery {

// A token bucket of bytes for responses without a usable list, and an exponential backoff after invalid
// lists. Polls that receive nothing are not charged, and are retried soon. Notification in time takes
// precedence over the budget, except after invalid lists, which another poll would only repeat:
// - For lists that are polled, a change counts as notified after poll_timeouts::kNotifiedAfter. An exhausted
//   budget defers a poll by kMaxBackoff at most.
// - For lists that an agent on this host pushes, a change counts as notified as soon as the agent has the
//   change. The next list may contain a draining endpoint, however many bytes the lists before had, so an
//   exhausted budget defers a poll by poll_timeouts::kMaxAgentPollDelay at most.
class PollBudget {
 public:
  static constexpr double kBytesPerSecond = 29'000;  // refill rate
  // Two snapshots of 27,000 endpoints, 4 MB each.
  static constexpr double kBurstBytes = 8.0 * 1024 * 1024;
  // The backoff after the first invalid list; each further invalid list doubles it.
  static constexpr Seconds kInitialBackoff = 0.25;
  // The sum of this backoff and the duration of a poll that hangs stays below poll_timeouts::kNotifiedAfter.
  static constexpr Seconds kMaxBackoff = 3;

  enum class ChargeReason {
    kTruncated,  // the poll failed, or the stream ended within a list
    kRepeated,   // a further snapshot from the same address
    kInvalid     // the list was not valid
  };

  explicit PollBudget(bool lists_are_pushed = false) : lists_are_pushed_(lists_are_pushed) {}

  // Charges bytes that were received without a usable list. jitter: a random number from 0 to 1, so that
  // the nodes do not all poll at the same time.
  void charge(Seconds now, std::size_t bytes, double jitter, ChargeReason reason);

  // Whether the byte budget is exhausted.
  bool is_exhausted() const { return bytes_left_ < 0; }

  // Begins the backoff, or doubles it.
  void record_invalid_list(Seconds now, double jitter);

  // Ends the backoff.
  void record_valid_list() { backoff_ = 0; }

  // The time until the next poll is allowed.
  Seconds poll_delay(Seconds now) const;

  // Allows a poll at once, as after a change of discovery's address. The bytes received stay charged.
  void allow_immediate_poll();

 private:
  Seconds max_delay(ChargeReason reason, double jitter) const;
  void defer_until(Seconds time);

  const bool lists_are_pushed_;
  double bytes_left_ = kBurstBytes;
  Seconds bytes_updated_at_ = 0;
  Seconds backoff_ = 0;
  Seconds next_poll_at_ = 0;  // the earliest time of the next poll
};

}  // namespace asterdrift::node::discovery
