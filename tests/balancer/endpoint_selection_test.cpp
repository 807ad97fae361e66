// Endpoint selection: the less busy of two.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

TEST(EndpointSelection, PrefersLessBusyEndpoint) {
  Settings s = basic_settings();
  TestReplica replica(s);
  replica.handle(0, make_snapshot(2));
  std::map<std::string, int> held;
  for (int i = 0; i < 10; ++i) {
    for (const SendAttempt& send : only<SendAttempt>(replica.request(std::to_string(i))))
      ++held[send.endpoint];
  }
  EXPECT_EQ(held["s0"], 5);
  EXPECT_EQ(held["s1"], 5);
}

// Comparing sizes, a replica with nothing in flight gave every call to the largest server.
TEST(EndpointSelection, SelectionIsProportionalToWeight) {
  TestReplica replica(basic_settings());
  EndpointUpdate m = make_snapshot(2);
  m.endpoints[1].weight = 3;
  replica.handle(0, m);
  std::map<std::string, int> used;
  for (int i = 0; i < 400; ++i) {
    replica.now = i * 0.4;
    for (const SendAttempt& send : only<SendAttempt>(replica.request(std::to_string(i))))
      ++used[send.endpoint];
    replica.end_attempt(std::to_string(i), Outcome::kSuccess);
  }
  EXPECT_NEAR(used["s0"], 100, 30);
  EXPECT_NEAR(used["s1"], 300, 30);
}

TEST(EndpointSelection, SameSeedAndEventsGiveSameActions) {
  const auto run = [] {
    TestReplica replica(basic_settings(), 99);
    replica.handle(5, make_snapshot(12));
    std::string out;
    for (int i = 0; i < 200; ++i) {
      for (const SendAttempt& send : only<SendAttempt>(replica.request(std::to_string(i))))
        out += send.endpoint + " ";
    }
    return out;
  };
  EXPECT_EQ(run(), run());
}
}  // namespace
}  // namespace asterdrift::balancer
