// The timeouts of polling discovery: how long a change may take to arrive.
#include "node/discovery/poll_timeouts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "support/balancer_fixture.h"

namespace asterdrift::node {

using namespace discovery;

namespace {

// The longest time that the module waits between polls, however many have failed.
double longest_wait_of_module(double poll_within) {
  balancer::Settings settings = balancer::basic_settings();
  settings.requires_watch = true;
  settings.poll_within = poll_within;
  double longest = 0;
  double shortest = 1000;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    balancer::TestReplica replica(settings, seed);
    replica.handle(0, balancer::ReplicaStarted{});
    for (double now = 0; now < 20;) {
      const auto timers =
          balancer::actions_of_type<balancer::SetTimer>(replica.handle(now, balancer::make_watch_failure()));
      EXPECT_EQ(timers.size(), 1U);
      longest = std::max(longest, timers.at(0).at - now);
      shortest = std::min(shortest, timers.at(0).at - now);
      now = timers.at(0).at;
    }
  }
  EXPECT_GT(longest, shortest * 1.5) << "jitter";
  return longest;
}

// How long each kind of poll can take: refused, rejected or disconnected at once, hanging at some point.
std::vector<double> poll_durations(bool pushed) {
  using namespace poll_timeouts;
  std::vector<double> durations = {0};
  for (int tenths = 0; tenths / 10.0 <= connect_deadline(pushed, 0); ++tenths) {
    const double connected_at = tenths / 10.0;
    durations.push_back(connected_at);
    durations.push_back(response_deadline(pushed, 0, connected_at));
  }
  durations.push_back(first_line_deadline(0, 0.5));  // a response soon, then silence or half a list
  durations.push_back(connect_deadline(pushed, 0));
  durations.push_back(kSilenceTimeout);
  return durations;
}

// From the moment at which discovery can be reached: the poll that hangs then, another one that hangs, and
// both waits are over before a change counts as notified. See the table in node/discovery/poll_timeouts.h.
TEST(PollTimeouts, ChangeIsReadBeforeItCountsAsNotified) {
  using namespace poll_timeouts;
  for (const bool pushed : {false, true}) {
    const double wait_between =
        pushed ? max_poll_delay(true) : std::max(max_poll_delay(false), longest_wait_of_module(10));
    const std::vector<double> durations = poll_durations(pushed);
    for (const double first : durations) {
      for (const double second : durations) {
        EXPECT_LE(first + wait_between + second + wait_between, kNotifiedAfter)
            << first << ", then " << second;
      }
      EXPECT_LE(first + wait_between, kNotifiedAfterAddressChange - 0.5) << "after a migration";
    }
    EXPECT_GE((kNotifiedAfter - kSilenceTimeout) / wait_between, 5) << "polls that are refused at once";
  }
  EXPECT_GE(response_deadline(false, 0, 0.1), 2.1) << "polls wait 2 s in discovery's queue";
  EXPECT_GE(first_line_deadline(0, 2) - 2, 2) << "and then for an empty line";
}

}  // namespace
}  // namespace asterdrift::node
