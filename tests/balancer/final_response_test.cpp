// Each request gets exactly one final response.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

std::size_t finals(const std::vector<Action>& actions) {
  return only<RejectRequest>(actions).size() + only<FailRequest>(actions).size();
}

constexpr Outcome kFailures[] = {Outcome::kServerError,   Outcome::kRejected,        Outcome::kTimedOut,
                                 Outcome::kConnectFailed, Outcome::kConnectionReset, Outcome::kCancelled,
                                 Outcome::kNotSent,       Outcome::kUnknown};

// Orders in which an outcome, the deadline and the client's leaving can meet: one final answer, none after.
TEST(FinalResponse, IsGivenOnceInEveryOrderOfEvents) {
  for (const Outcome outcome : kFailures) {
    for (const bool gone_first : {false, true}) {
      Settings s = basic_settings(make_request_class(Idempotency::kNotIdempotent));
      s.max_attempts = 1;
      TestReplica replica(s);
      replica.handle(0, make_snapshot(3));
      ASSERT_EQ(only<SendAttempt>(replica.request("r")).size(), 1U);
      replica.now = 1;
      std::vector<Action> after;
      if (gone_first) {
        after = replica.handle(1, RequestAborted{"r"});
        EXPECT_EQ(finals(after), 0U);
        EXPECT_EQ(only<CancelAttempt>(after).size(), 1U);
        after = replica.end_attempt("r", outcome);
        EXPECT_EQ(finals(after), 0U);
      } else {
        after = replica.end_attempt("r", outcome);
        EXPECT_EQ(finals(after), 1U);
        EXPECT_TRUE(replica.handle(1, RequestAborted{"r"}).empty());
      }
      EXPECT_TRUE(only<SendAttempt>(after).empty());
      EXPECT_TRUE(replica.end_attempt("r", outcome).empty()) << "an outcome twice";
    }
  }
}

TEST(FinalResponse, IsNotGivenAfterSuccessfulAttempt) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(3));
  replica.request("r");
  EXPECT_TRUE(replica.end_attempt("r", Outcome::kSuccess).empty());
  EXPECT_TRUE(replica.handle(0, RequestAborted{"r"}).empty());
}

TEST(FinalResponse, AttemptTimeoutDoesNotExceedClientTimeout) {
  RequestClass c = make_request_class(Idempotency::kNotIdempotent);
  c.late_priority_weight = 0.5;
  TestReplica replica(basic_settings(c));
  replica.handle(0, make_snapshot(3));
  Request r;
  r.id = "r";
  r.time_left = 0.7;
  const auto sends = only<SendAttempt>(replica.handle(0, r));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_LE(sends[0].timeout, 0.7);
  EXPECT_GT(sends[0].timeout, 0);
}

TEST(FinalResponse, RequestIsRejectedWithoutReadyEndpoints) {
  TestReplica nothing_known(basic_settings());
  EXPECT_EQ(only<RejectRequest>(nothing_known.request("a")).size(), 1U);
  TestReplica draining(basic_settings());
  EndpointUpdate m = make_snapshot(3);
  for (Endpoint& s : m.endpoints) s.state = EndpointState::kDraining;
  draining.handle(0, m);
  EXPECT_EQ(only<RejectRequest>(draining.request("a")).size(), 1U);
}

TEST(FinalResponse, IsGivenAfterMaxAttempts) {
  Settings s = basic_settings();
  s.max_attempts = 3;
  TestReplica replica(s);
  replica.handle(0, make_snapshot(8));
  auto actions = replica.request("r");
  int sends = 0;
  while (!only<SendAttempt>(actions).empty()) actions = replica.end_attempt("r", Outcome::kRejected, sends++);
  EXPECT_LE(sends, 3);
  EXPECT_EQ(finals(actions), 1U);
}
}  // namespace
}  // namespace asterdrift::balancer
