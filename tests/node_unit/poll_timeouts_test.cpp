// The timeouts of polls of discovery: how long a change may take to arrive at the node.
#include "node/discovery/poll_timeouts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "support/balancer_fixture.h"

namespace asterdrift::node {

using namespace discovery;

namespace {

// The longest time that the balancer waits between two polls, however many polls have failed.
Seconds max_balancer_poll_delay(Seconds poll_within) {
  balancer::Settings settings = balancer::basic_settings();
  settings.requires_watch = true;
  settings.poll_within = poll_within;
  Seconds longest = 0;
  Seconds shortest = 1000;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    balancer::TestReplica replica(settings, seed);
    replica.handle(0, balancer::ReplicaStarted{});
    for (Seconds now = 0; now < 20;) {
      const auto timers =
          balancer::actions_of_type<balancer::SetTimer>(replica.handle(now, balancer::make_watch_failure()));
      EXPECT_EQ(timers.size(), 1U);
      longest = std::max(longest, timers.at(0).at - now);
      shortest = std::min(shortest, timers.at(0).at - now);
      now = timers.at(0).at;
    }
  }
  EXPECT_GT(longest, shortest * 1.5) << "delays have jitter";
  return longest;
}

// How long each kind of failed poll can take: one that is refused, rejected or disconnected at once, or one
// that hangs in some phase.
std::vector<Seconds> failed_poll_durations(bool lists_are_pushed) {
  using namespace poll_timeouts;
  std::vector<Seconds> durations = {0};
  for (int tenths = 0; tenths / 10.0 <= connect_deadline(lists_are_pushed, 0); ++tenths) {
    const Seconds connected_at = tenths / 10.0;
    durations.push_back(connected_at);
    durations.push_back(response_deadline(lists_are_pushed, 0, connected_at));
  }
  // An early response head, then silence or a truncated list.
  durations.push_back(first_line_deadline(0, 0.5));
  durations.push_back(connect_deadline(lists_are_pushed, 0));
  durations.push_back(kSilenceTimeout);
  return durations;
}

// When discovery becomes reachable, the current poll may hang, and so may the next one. Both polls and the
// delays after them are over before a change counts as notified. See the table in
// node/discovery/poll_timeouts.h.
TEST(PollTimeouts, ChangeIsReceivedBeforeItCountsAsNotified) {
  using namespace poll_timeouts;
  for (const bool lists_are_pushed : {false, true}) {
    const Seconds poll_delay = lists_are_pushed
                                   ? max_poll_delay(true)
                                   : std::max(max_poll_delay(false), max_balancer_poll_delay(10));
    const std::vector<Seconds> durations = failed_poll_durations(lists_are_pushed);
    for (const Seconds first : durations) {
      for (const Seconds second : durations) {
        EXPECT_LE(first + poll_delay + second + poll_delay, kNotifiedAfter) << first << ", then " << second;
      }
      EXPECT_LE(first + poll_delay, kNotifiedAfterAddressChange - 0.5)
          << "after a change of discovery's address";
    }
    EXPECT_GE((kNotifiedAfter - kSilenceTimeout) / poll_delay, 5)
        << "number of polls that are refused at once";
  }
  EXPECT_GE(response_deadline(false, 0, 0.1), 2.1) << "polls wait up to 2 s in discovery's queue";
  EXPECT_GE(first_line_deadline(0, 2) - 2, 2) << "after the queue, a poll waits up to 2 s for an empty line";
}

}  // namespace
}  // namespace asterdrift::node
