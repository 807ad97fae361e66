// The poll budget: what polling discovery may cost.
#include "node/discovery/poll_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "node/discovery/poll_timeouts.h"

namespace asterdrift::node {

using namespace discovery;

namespace {

constexpr double kDay = 86400;          // s
constexpr double kLongRunRate = 29000;  // bytes/s

struct WastedDay {
  double rate = 0;          // bytes/s received
  double longest_wait = 0;  // s between two polls
};

// A day on which each poll yields so many bytes that are wasted.
WastedDay wasted_day(std::size_t bytes, PollBudget::ChargeReason reason) {
  PollBudget budget;
  double received = 0;
  double longest_wait = 0;
  double now = 1e6;
  const double end = now + kDay;
  while (now < end) {
    received += static_cast<double>(bytes);
    budget.charge(now, bytes, 1, reason);
    if (reason == PollBudget::ChargeReason::kInvalid) budget.record_invalid_list(now, 1);
    longest_wait = std::max(longest_wait, budget.poll_delay(now));
    now += budget.poll_delay(now) + poll_timeouts::kMaxPollDelay / 2;
  }
  return {received / kDay, longest_wait};
}

TEST(PollBudget, BoundsLongRunTrafficOfInvalidLists) {
  for (const std::size_t bytes : {std::size_t{300}, std::size_t{30000}, std::size_t{4000000}}) {
    const WastedDay day = wasted_day(bytes, PollBudget::ChargeReason::kInvalid);
    EXPECT_LE(day.rate, kLongRunRate + (PollBudget::kBurstBytes + static_cast<double>(bytes)) / kDay)
        << bytes;
  }
  PollBudget budget;
  budget.charge(100, 4'300'000, 1, PollBudget::ChargeReason::kInvalid);
  EXPECT_EQ(budget.poll_delay(100), 0) << "another complete list may be polled at once";
}

// While discovery sends valid lists, the next one may contain a draining endpoint: however many bytes were
// wasted on truncated or repeated lists, one wait and one poll that hangs fit into the time until a change
// counts as notified.
TEST(PollBudget, BackoffStaysWithinNotificationTime) {
  for (const PollBudget::ChargeReason reason :
       {PollBudget::ChargeReason::kTruncated, PollBudget::ChargeReason::kRepeated}) {
    for (const std::size_t bytes : {std::size_t{300}, std::size_t{30000}, std::size_t{4000000}}) {
      const WastedDay day = wasted_day(bytes, reason);
      EXPECT_LE(day.longest_wait + poll_timeouts::kSilenceTimeout, poll_timeouts::kNotifiedAfter) << bytes;
      EXPECT_LE(day.rate, std::max(kLongRunRate, static_cast<double>(bytes) / PollBudget::kMaxBackoff) + 200)
          << bytes;
    }
  }
}

TEST(PollBudget, BacksOffAfterInvalidListsButNotAfterFailedPolls) {
  PollBudget budget;
  PollBudget with_min_jitter;
  double previous_wait = 0;
  for (int i = 0; i < 4; ++i) {
    budget.record_invalid_list(100 * i, 1);
    with_min_jitter.record_invalid_list(100 * i, 0);
    EXPECT_GT(budget.poll_delay(100 * i), previous_wait);
    EXPECT_EQ(with_min_jitter.poll_delay(100 * i), budget.poll_delay(100 * i) / 2);
    previous_wait = budget.poll_delay(100 * i);
  }
  for (int i = 4; i < 40; ++i) budget.record_invalid_list(100 * i, 1);
  EXPECT_LE(budget.poll_delay(3900) + poll_timeouts::kSilenceTimeout, poll_timeouts::kNotifiedAfter);
  budget.record_valid_list();
  budget.record_invalid_list(5000, 1);
  EXPECT_EQ(budget.poll_delay(5000), PollBudget::kInitialBackoff);
  PollBudget after_failed_polls;
  for (int i = 0; i < 100000; ++i)
    after_failed_polls.charge(i * 0.05, 0, 1, PollBudget::ChargeReason::kTruncated);
  EXPECT_EQ(after_failed_polls.poll_delay(5000), 0);
}

}  // namespace
}  // namespace asterdrift::node
