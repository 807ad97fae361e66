// Each request gets exactly one final response.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

TestReplica replica_without_retries() {
  Settings settings = basic_settings(make_request_class(Idempotency::kNotIdempotent));
  settings.max_attempts = 1;
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(3));
  return replica;
}

// An attempt can end before or after its client disconnects.
TEST(FinalResponse, IsGivenOnceInEveryOrderOfEvents) {
  for (const Outcome outcome : kFailureOutcomes) {
    for (const bool client_departs_first : {false, true}) {
      TestReplica replica = replica_without_retries();
      ASSERT_EQ(actions_of_type<SendAttempt>(replica.request("r")).size(), 1U);
      replica.now = 1;
      std::vector<Action> actions;
      if (client_departs_first) {
        actions = replica.handle(1, RequestAborted{"r"});
        EXPECT_EQ(count_final_responses(actions), 0U);
        EXPECT_EQ(actions_of_type<CancelAttempt>(actions).size(), 1U);
        actions = replica.end_attempt("r", outcome);
        EXPECT_EQ(count_final_responses(actions), 0U);
      } else {
        actions = replica.end_attempt("r", outcome);
        EXPECT_EQ(count_final_responses(actions), 1U);
        EXPECT_TRUE(replica.handle(1, RequestAborted{"r"}).empty());
      }
      EXPECT_TRUE(actions_of_type<SendAttempt>(actions).empty());
      EXPECT_TRUE(replica.end_attempt("r", outcome).empty()) << "a repeated outcome causes actions";
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
  RequestClass request_class = make_request_class(Idempotency::kNotIdempotent);
  request_class.late_priority_weight = 0.5;
  TestReplica replica(basic_settings(request_class));
  replica.handle(0, make_snapshot(3));
  Request request;
  request.id = "r";
  request.time_left = 0.7;
  const auto sent = actions_of_type<SendAttempt>(replica.handle(0, request));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_LE(sent[0].timeout, 0.7);
  EXPECT_GT(sent[0].timeout, 0);
}

TEST(FinalResponse, RequestIsRejectedWithoutReadyEndpoints) {
  TestReplica without_endpoints(basic_settings());
  EXPECT_EQ(actions_of_type<RejectRequest>(without_endpoints.request("a")).size(), 1U);
  TestReplica with_draining_endpoints(basic_settings());
  EndpointUpdate snapshot = make_snapshot(3);
  for (Endpoint& endpoint : snapshot.endpoints) endpoint.state = EndpointState::kDraining;
  with_draining_endpoints.handle(0, snapshot);
  EXPECT_EQ(actions_of_type<RejectRequest>(with_draining_endpoints.request("a")).size(), 1U);
}

TEST(FinalResponse, IsGivenAfterMaxAttempts) {
  Settings settings = basic_settings();
  settings.max_attempts = 3;
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(8));
  auto actions = replica.request("r");
  int attempts = 0;
  while (!actions_of_type<SendAttempt>(actions).empty())
    actions = replica.end_attempt("r", Outcome::kRejected, attempts++);
  EXPECT_LE(attempts, 3);
  EXPECT_EQ(count_final_responses(actions), 1U);
}

}  // namespace
}  // namespace asterdrift::balancer
