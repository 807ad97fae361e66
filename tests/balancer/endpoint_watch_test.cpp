// The endpoint watch: when a replica requests endpoint updates.
#include <gtest/gtest.h>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

TEST(EndpointWatch, IsRequestedAtStartAndAfterFailures) {
  Settings settings = basic_settings();
  settings.requires_watch = true;
  settings.poll_within = 10;
  TestReplica replica(settings);
  EXPECT_EQ(actions_of_type<WatchEndpoints>(replica.handle(0, ReplicaStarted{})).size(), 1U);
  Seconds now = 0;
  for (int i = 0; i < 12; ++i) {
    const auto timers = actions_of_type<SetTimer>(replica.handle(now, make_watch_failure()));
    ASSERT_EQ(timers.size(), 1U);
    EXPECT_GT(timers[0].at, now);
    EXPECT_LE(timers[0].at, now + 5)
        << "within half of poll_within, after which an update counts as notified";
    now = timers[0].at;
    EXPECT_EQ(actions_of_type<WatchEndpoints>(replica.handle(now, TimerFired{timers[0].token})).size(), 1U);
  }
}

TEST(EndpointWatch, IsNotRequestedWhenUpdatesArriveUnsolicited) {
  TestReplica replica(basic_settings());
  EXPECT_TRUE(replica.handle(0, ReplicaStarted{}).empty());
  EXPECT_TRUE(replica.handle(0, make_watch_failure()).empty());
}

}  // namespace
}  // namespace asterdrift::balancer
