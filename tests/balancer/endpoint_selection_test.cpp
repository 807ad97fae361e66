// Endpoint selection: the less busy one of two random candidates.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

TEST(EndpointSelection, PrefersLessBusyEndpoint) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(2));
  std::map<std::string, int> in_flight;
  for (int i = 0; i < 10; ++i) {
    for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(std::to_string(i))))
      ++in_flight[send.endpoint];
  }
  EXPECT_EQ(in_flight["s0"], 5);
  EXPECT_EQ(in_flight["s1"], 5);
}

// Selection must follow the weights even when a replica has no requests in flight and all endpoints look
// equally busy to it.
TEST(EndpointSelection, SelectionIsProportionalToWeight) {
  TestReplica replica(basic_settings());
  EndpointUpdate snapshot = make_snapshot(2);
  snapshot.endpoints[1].weight = 3;
  replica.handle(0, snapshot);
  std::map<std::string, int> attempts;
  for (int i = 0; i < 400; ++i) {
    replica.now = i * 0.4;
    for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(std::to_string(i))))
      ++attempts[send.endpoint];
    replica.end_attempt(std::to_string(i), Outcome::kSuccess);
  }
  EXPECT_NEAR(attempts["s0"], 100, 30);
  EXPECT_NEAR(attempts["s1"], 300, 30);
}

TEST(EndpointSelection, SameSeedAndEventsGiveSameActions) {
  const auto selected_endpoints = [] {
    TestReplica replica(basic_settings(), 99);
    replica.handle(5, make_snapshot(12));
    std::string selected;
    for (int i = 0; i < 200; ++i) {
      for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(std::to_string(i))))
        selected += send.endpoint + " ";
    }
    return selected;
  };
  EXPECT_EQ(selected_endpoints(), selected_endpoints());
}

}  // namespace
}  // namespace asterdrift::balancer
