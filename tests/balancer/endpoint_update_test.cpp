// Endpoint updates: draining and removed endpoints.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

using Addresses = std::set<std::string>;

// The addresses of the endpoints that 50 requests are sent to.
Addresses used_endpoints(TestReplica& replica, const std::string& id_prefix) {
  Addresses used;
  for (int i = 0; i < 50; ++i) {
    const std::string id = id_prefix + std::to_string(i);
    for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(id)))
      used.insert(send.endpoint);
    replica.end_attempt(id, Outcome::kSuccess);
  }
  return used;
}

TEST(EndpointUpdate, DrainingOrRemovedEndpointGetsNoNewRequests) {
  for (const EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    TestReplica replica(basic_settings());
    replica.handle(0, make_snapshot(3));
    EXPECT_EQ(used_endpoints(replica, "a").size(), 3U);
    replica.handle(1, make_update(make_endpoint(1), state));
    EXPECT_EQ(used_endpoints(replica, "b"), (Addresses{"s0", "s2"}));
    replica.handle(2, make_update(make_endpoint(1), EndpointState::kReady));
    EXPECT_EQ(used_endpoints(replica, "c").size(), 3U);
  }
}

TEST(EndpointUpdate, EndpointMissingFromSnapshotIsRemoved) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(3));
  replica.handle(1, make_snapshot(2));
  EXPECT_EQ(used_endpoints(replica, "a"), (Addresses{"s0", "s1"}));
  replica.handle(2, make_watch_failure());
  EXPECT_EQ(used_endpoints(replica, "b"), (Addresses{"s0", "s1"}));
}

}  // namespace
}  // namespace asterdrift::balancer
