// Endpoint updates: drains, removed endpoints, and the watch.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

std::set<std::string> servers_used(TestReplica& replica, int calls, const std::string& prefix) {
  std::set<std::string> used;
  for (int i = 0; i < calls; ++i) {
    const std::string id = prefix + std::to_string(i);
    for (const SendAttempt& send : only<SendAttempt>(replica.request(id))) used.insert(send.endpoint);
    replica.end_attempt(id, Outcome::kSuccess);
  }
  return used;
}

TEST(EndpointUpdate, DrainingOrRemovedEndpointGetsNoNewRequests) {
  for (const EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    TestReplica replica(basic_settings());
    replica.handle(0, make_snapshot(3));
    EXPECT_EQ(servers_used(replica, 50, "a").size(), 3U);
    EndpointUpdate change;
    change.form = EndpointUpdate::Form::kIncremental;
    change.endpoints = {make_endpoint(1)};
    change.endpoints[0].state = state;
    replica.handle(1, change);
    EXPECT_EQ(servers_used(replica, 50, "b"), (std::set<std::string>{"s0", "s2"}));
    change.endpoints[0].state = EndpointState::kReady;
    replica.handle(2, change);
    EXPECT_EQ(servers_used(replica, 50, "c").size(), 3U);
  }
}

TEST(EndpointUpdate, EndpointMissingFromSnapshotIsRemoved) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(3));
  replica.handle(1, make_snapshot(2));
  EXPECT_EQ(servers_used(replica, 50, "a"), (std::set<std::string>{"s0", "s1"}));
  EndpointUpdate failed;
  failed.form = EndpointUpdate::Form::kWatchFailed;
  replica.handle(2, failed);
  EXPECT_EQ(servers_used(replica, 50, "b"), (std::set<std::string>{"s0", "s1"}));
}

TEST(EndpointWatch, IsRequestedAtStartAndAfterFailures) {
  Settings s = basic_settings();
  s.requires_watch = true;
  s.poll_within = 10;
  TestReplica replica(s);
  EXPECT_EQ(only<WatchEndpoints>(replica.handle(0, Started{})).size(), 1U);
  EndpointUpdate failed;
  failed.form = EndpointUpdate::Form::kWatchFailed;
  double now = 0;
  for (int i = 0; i < 12; ++i) {
    const auto timers = only<SetTimer>(replica.handle(now, failed));
    ASSERT_EQ(timers.size(), 1U);
    EXPECT_GT(timers[0].at, now);
    EXPECT_LE(timers[0].at, now + 5) << "within the time after which it counts as told";
    now = timers[0].at;
    EXPECT_EQ(only<WatchEndpoints>(replica.handle(now, TimerFired{timers[0].token})).size(), 1U);
  }
}

TEST(EndpointWatch, IsNotRequestedWhenUpdatesArriveUnsolicited) {
  TestReplica replica(basic_settings());
  EXPECT_TRUE(replica.handle(0, Started{}).empty());
  EndpointUpdate failed;
  failed.form = EndpointUpdate::Form::kWatchFailed;
  EXPECT_TRUE(replica.handle(0, failed).empty());
}
}  // namespace
}  // namespace asterdrift::balancer
