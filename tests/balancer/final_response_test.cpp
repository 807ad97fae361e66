// Each request gets exactly one final response.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

std::size_t finals(const std::vector<Action>& actions) {
  return all<RejectRequest>(actions).size() + all<FailRequest>(actions).size();
}

constexpr Outcome kFailures[] = {Outcome::kServerError,   Outcome::kRejected,        Outcome::kTimedOut,
                                 Outcome::kConnectFailed, Outcome::kConnectionReset, Outcome::kCancelled,
                                 Outcome::kNotSent,       Outcome::kUnknown};

// Orders in which an outcome, the deadline and the client's leaving can meet: one final answer, none after.
TEST(FinalResponse, IsGivenOnceInEveryOrderOfEvents) {
  for (const Outcome outcome : kFailures) {
    for (const bool gone_first : {false, true}) {
      Settings s = basic_settings(class_of(Idempotency::kNotIdempotent));
      s.max_attempts = 1;
      TestReplica replica(s);
      replica.at(0, members(3));
      ASSERT_EQ(all<SendAttempt>(replica.request("r")).size(), 1U);
      replica.now = 1;
      std::vector<Action> after;
      if (gone_first) {
        after = replica.at(1, RequestAborted{"r"});
        EXPECT_EQ(finals(after), 0U);
        EXPECT_EQ(all<CancelAttempt>(after).size(), 1U);
        after = replica.end("r", outcome);
        EXPECT_EQ(finals(after), 0U);
      } else {
        after = replica.end("r", outcome);
        EXPECT_EQ(finals(after), 1U);
        EXPECT_TRUE(replica.at(1, RequestAborted{"r"}).empty());
      }
      EXPECT_TRUE(all<SendAttempt>(after).empty());
      EXPECT_TRUE(replica.end("r", outcome).empty()) << "an outcome twice";
    }
  }
}

TEST(FinalResponse, IsNotGivenAfterSuccessfulAttempt) {
  TestReplica replica(basic_settings());
  replica.at(0, members(3));
  replica.request("r");
  EXPECT_TRUE(replica.end("r", Outcome::kSuccess).empty());
  EXPECT_TRUE(replica.at(0, RequestAborted{"r"}).empty());
}

TEST(FinalResponse, AttemptTimeoutDoesNotExceedClientTimeout) {
  RequestClass c = class_of(Idempotency::kNotIdempotent);
  c.late_priority_weight = 0.5;
  TestReplica replica(basic_settings(c));
  replica.at(0, members(3));
  Request r;
  r.id = "r";
  r.time_left = 0.7;
  const auto sends = all<SendAttempt>(replica.at(0, r));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_LE(sends[0].timeout, 0.7);
  EXPECT_GT(sends[0].timeout, 0);
}

TEST(FinalResponse, RequestIsRejectedWithoutReadyEndpoints) {
  TestReplica nothing_known(basic_settings());
  EXPECT_EQ(all<RejectRequest>(nothing_known.request("a")).size(), 1U);
  TestReplica draining(basic_settings());
  EndpointUpdate m = members(3);
  for (Endpoint& s : m.endpoints) s.state = EndpointState::kDraining;
  draining.at(0, m);
  EXPECT_EQ(all<RejectRequest>(draining.request("a")).size(), 1U);
}

TEST(FinalResponse, IsGivenAfterMaxAttempts) {
  Settings s = basic_settings();
  s.max_attempts = 3;
  TestReplica replica(s);
  replica.at(0, members(8));
  auto actions = replica.request("r");
  int sends = 0;
  while (!all<SendAttempt>(actions).empty()) actions = replica.end("r", Outcome::kRejected, sends++);
  EXPECT_LE(sends, 3);
  EXPECT_EQ(finals(actions), 1U);
}
}  // namespace
}  // namespace asterdrift::balancer
