// What polling discovery may cost, and how long it may take.
#include "node/discovery/poll_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "node/discovery/poll_timeouts.h"
#include "support/balancer_fixture.h"

namespace asterdrift::node {

using namespace discovery;

namespace {

// What a node gets in a day on which every call brings so many bytes for nothing, and its longest wait.
std::pair<double, double> useless_day(std::size_t bytes, PollBudget::Waste why) {
  constexpr double kDay = 86400;
  PollBudget budget;
  double got = 0, longest = 0, now = 1e6;
  const double end = now + kDay;
  while (now < end) {
    got += static_cast<double>(bytes);
    budget.record_waste(now, bytes, 1, why);
    if (why == PollBudget::Waste::kInvalid) budget.record_invalid_list(now, 1);
    longest = std::max(longest, budget.wait(now));
    now += budget.wait(now) + poll_timeouts::kWait / 2;
  }
  return {got / kDay, longest};
}

TEST(PollBudget, BoundsLongRunTrafficOfInvalidLists) {
  for (const std::size_t bytes : {std::size_t{300}, std::size_t{30000}, std::size_t{4000000}}) {
    const auto [rate, longest] = useless_day(bytes, PollBudget::Waste::kInvalid);
    EXPECT_LE(rate, 29000 + (PollBudget::kBurst + static_cast<double>(bytes)) / 86400) << bytes;
  }
  PollBudget start;
  start.record_waste(100, 4'300'000, 1, PollBudget::Waste::kInvalid);
  EXPECT_EQ(start.wait(100), 0) << "one more whole list may be asked for at once";
}

// Discovery that tells sound lists may tell a drain in the next one: however many bytes calls have cost that
// were cut, or were told a whole list again, a wait and a call that hangs fit into the 6 s.
TEST(PollBudget, BackoffStaysWithinNotificationTime) {
  for (const PollBudget::Waste why : {PollBudget::Waste::kTruncated, PollBudget::Waste::kRepeated}) {
    for (const std::size_t bytes : {std::size_t{300}, std::size_t{30000}, std::size_t{4000000}}) {
      const auto [rate, longest] = useless_day(bytes, why);
      EXPECT_LE(longest + poll_timeouts::kSilence, poll_timeouts::kNotifiedAfter) << bytes;
      EXPECT_LE(rate, std::max(29000.0, static_cast<double>(bytes) / PollBudget::kMostBackoff) + 200)
          << bytes;
    }
  }
}

TEST(PollBudget, BacksOffAfterInvalidListsButNotAfterFailedPolls) {
  PollBudget budget, jittered;
  double last = 0;
  for (int i = 0; i < 4; ++i) {
    budget.record_invalid_list(100 * i, 1);
    jittered.record_invalid_list(100 * i, 0);
    EXPECT_GT(budget.wait(100 * i), last);
    EXPECT_EQ(jittered.wait(100 * i), budget.wait(100 * i) / 2);
    last = budget.wait(100 * i);
  }
  for (int i = 4; i < 40; ++i) budget.record_invalid_list(100 * i, 1);
  EXPECT_LE(budget.wait(3900) + poll_timeouts::kSilence, poll_timeouts::kNotifiedAfter);
  budget.record_valid_list();
  budget.record_invalid_list(5000, 1);
  EXPECT_EQ(budget.wait(5000), PollBudget::kFirstBackoff);
  PollBudget refused;
  for (int i = 0; i < 100000; ++i) refused.record_waste(i * 0.05, 0, 1, PollBudget::Waste::kTruncated);
  EXPECT_EQ(refused.wait(5000), 0);
}

// The longest time that the module waits, however often calls have failed, on a clock of its own.
double longest_wait(double poll_within) {
  asterdrift::balancer::Settings s = asterdrift::balancer::basic_settings();
  s.requires_watch = true;
  s.poll_within = poll_within;
  double longest = 0, shortest = 1000;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    asterdrift::balancer::TestReplica replica(s, seed);
    replica.handle(0, asterdrift::balancer::Started{});
    asterdrift::balancer::EndpointUpdate failed;
    failed.form = asterdrift::balancer::EndpointUpdate::Form::kWatchFailed;
    for (double now = 0; now < 20;) {
      const auto timers =
          asterdrift::balancer::only<asterdrift::balancer::SetTimer>(replica.handle(now, failed));
      EXPECT_EQ(timers.size(), 1U);
      longest = std::max(longest, timers.at(0).at - now);
      shortest = std::min(shortest, timers.at(0).at - now);
      now = timers.at(0).at;
    }
  }
  EXPECT_GT(longest, shortest * 1.5) << "jitter";
  return longest;
}

// Whatever hangs at a moment from which discovery could be reached, one more call that hangs, and both waits
// are over before a change counts as told. See the table in node/discovery/poll_timeouts.h.
TEST(PollTimeouts, ChangeIsReadBeforeItCountsAsNotified) {
  using namespace poll_timeouts;
  for (const bool pushed : {false, true}) {
    const double waits = pushed ? wait(true) : std::max(wait(false), longest_wait(10));
    std::vector<double> calls = {0};  // how long each kind of call can take: refused, 503 or cut at once
    for (int tenths = 0; tenths / 10.0 <= connected_by(pushed, 0); ++tenths) {
      const double connected = tenths / 10.0;
      calls.push_back(connected);
      calls.push_back(answered_by(pushed, 0, connected));
    }
    calls.push_back(first_line_by(0, 0.5));  // an answer soon, then silence or half a list
    calls.push_back(connected_by(pushed, 0));
    calls.push_back(kSilence);
    for (const double hangs : calls) {
      for (const double again : calls) {
        EXPECT_LE(hangs + waits + again + waits, kNotifiedAfter) << hangs << ", then " << again;
      }
      EXPECT_LE(hangs + waits, kNotifiedAfterMove - 0.5) << "after a move";
    }
    EXPECT_GE((kNotifiedAfter - kSilence) / waits, 5) << "calls refused at once, after a silence";
  }
  EXPECT_GE(answered_by(false, 0, 0.1), 2.1) << "calls wait 2 s in discovery's queue";
  EXPECT_GE(first_line_by(0, 2) - 2, 2) << "and then for an empty line";
}

}  // namespace
}  // namespace asterdrift::node
