// The poll budget: limits on the traffic of polls without a usable list.
#include "node/discovery/poll_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "node/discovery/poll_timeouts.h"

namespace asterdrift::node {

using namespace discovery;

namespace {

constexpr Seconds kDay = 86400;
constexpr double kLongRunBytesPerSecond = 29000;

struct PollTraffic {
  double bytes_per_second = 0;
  Seconds max_poll_delay = 0;
};

// Simulates a day on which each poll receives this many bytes without a usable list.
PollTraffic simulate_day(std::size_t bytes, PollBudget::ChargeReason reason) {
  PollBudget budget;
  double received_bytes = 0;
  Seconds max_poll_delay = 0;
  Seconds now = 1e6;
  const Seconds end = now + kDay;
  while (now < end) {
    received_bytes += static_cast<double>(bytes);
    budget.charge(now, bytes, 1, reason);
    if (reason == PollBudget::ChargeReason::kInvalid) budget.record_invalid_list(now, 1);
    max_poll_delay = std::max(max_poll_delay, budget.poll_delay(now));
    now += budget.poll_delay(now) + poll_timeouts::kMaxPollDelay / 2;
  }
  return {received_bytes / kDay, max_poll_delay};
}

TEST(PollBudget, BoundsLongRunTrafficOfInvalidLists) {
  for (const std::size_t bytes : {std::size_t{300}, std::size_t{30000}, std::size_t{4000000}}) {
    const PollTraffic traffic = simulate_day(bytes, PollBudget::ChargeReason::kInvalid);
    EXPECT_LE(traffic.bytes_per_second,
              kLongRunBytesPerSecond + (PollBudget::kBurstBytes + static_cast<double>(bytes)) / kDay)
        << bytes;
  }
  PollBudget budget;
  budget.charge(100, 4'300'000, 1, PollBudget::ChargeReason::kInvalid);
  EXPECT_EQ(budget.poll_delay(100), 0) << "another complete list may be polled at once";
}

// While discovery sends valid lists, the next list may contain a draining endpoint. Therefore, however many
// bytes of truncated or repeated lists were charged, one poll delay and one poll that hangs together take no
// longer than the time until a change counts as notified.
TEST(PollBudget, PollDelayStaysWithinNotificationTime) {
  for (const PollBudget::ChargeReason reason :
       {PollBudget::ChargeReason::kTruncated, PollBudget::ChargeReason::kRepeated}) {
    for (const std::size_t bytes : {std::size_t{300}, std::size_t{30000}, std::size_t{4000000}}) {
      const PollTraffic traffic = simulate_day(bytes, reason);
      EXPECT_LE(traffic.max_poll_delay + poll_timeouts::kSilenceTimeout, poll_timeouts::kNotifiedAfter)
          << bytes;
      EXPECT_LE(traffic.bytes_per_second,
                std::max(kLongRunBytesPerSecond, static_cast<double>(bytes) / PollBudget::kMaxBackoff) + 200)
          << bytes;
    }
  }
}

// Guards against an agent that is not polled for seconds after many long lists, while it has the news that a
// server drains. However many bytes its lists had, the next poll is not put off; after an invalid list, which
// the next poll would repeat, by no more than the backoff.
TEST(PollBudget, AgentThatPushesListsIsPolledSoonAfterListsOfAnySize) {
  constexpr bool kListsArePushed = true;
  for (const std::size_t bytes : {std::size_t{300}, std::size_t{400'000}, std::size_t{4'000'000}}) {
    PollBudget budget(kListsArePushed);
    for (int i = 0; i < 1000; ++i) {
      const Seconds now = 100 + i * 0.1;
      budget.charge(now, bytes, 1, PollBudget::ChargeReason::kRepeated);
      budget.charge(now, bytes, 1, PollBudget::ChargeReason::kTruncated);
      ASSERT_LE(budget.poll_delay(now), poll_timeouts::kMaxAgentPollDelay) << bytes << ", poll " << i;
    }
    for (int i = 0; i < 100; ++i) {
      const Seconds now = 1000 + i * 3;
      budget.charge(now, bytes, 1, PollBudget::ChargeReason::kInvalid);
      budget.record_invalid_list(now, 1);
      ASSERT_LE(budget.poll_delay(now), PollBudget::kMaxBackoff) << bytes << ", invalid list " << i;
    }
    EXPECT_GE(budget.poll_delay(1000 + 99 * 3), PollBudget::kMaxBackoff) << bytes;
    budget.record_valid_list();
    budget.charge(2000, bytes, 1, PollBudget::ChargeReason::kRepeated);
    EXPECT_LE(budget.poll_delay(2000), poll_timeouts::kMaxAgentPollDelay) << bytes << ", after a mended list";
  }
}

TEST(PollBudget, BacksOffAfterInvalidListsButNotAfterFailedPolls) {
  PollBudget budget;
  PollBudget with_min_jitter;
  Seconds previous_delay = 0;
  for (int i = 0; i < 4; ++i) {
    budget.record_invalid_list(100 * i, 1);
    with_min_jitter.record_invalid_list(100 * i, 0);
    EXPECT_GT(budget.poll_delay(100 * i), previous_delay);
    EXPECT_EQ(with_min_jitter.poll_delay(100 * i), budget.poll_delay(100 * i) / 2);
    previous_delay = budget.poll_delay(100 * i);
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
