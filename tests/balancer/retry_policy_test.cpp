// Retry policy: which requests are retried, at which endpoints, and after which timeout.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

TEST(RetryPolicy, RetriesAreBoundedByBudget) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(4));
  int first_attempts = 0;
  int retries = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sent = actions_of_type<SendAttempt>(replica.request(id));
    first_attempts += static_cast<int>(sent.size());
    for (int attempt = 0; !sent.empty(); ++attempt) {
      sent = actions_of_type<SendAttempt>(replica.end_attempt(id, Outcome::kServerError, attempt));
      retries += static_cast<int>(sent.size());
    }
  }
  EXPECT_GT(retries, 0);
  EXPECT_LT(retries, first_attempts / 4 + 10);
}

TEST(RetryPolicy, RetryGoesToAnotherEndpoint) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(3));
  const auto first = actions_of_type<SendAttempt>(replica.request("r"));
  const auto second = actions_of_type<SendAttempt>(replica.end_attempt("r", Outcome::kConnectionReset));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(first[0].endpoint, second[0].endpoint);
}

TEST(RetryPolicy, RequestWithConsumedBodyIsNotRetried) {
  for (const bool consumed : {false, true}) {
    TestReplica replica(basic_settings());
    replica.handle(0, make_snapshot(4));
    replica.request("a");
    if (consumed) replica.handle(0, RequestBodyConsumed{"a"});
    const std::vector<Action> actions = replica.end_attempt("a", Outcome::kConnectFailed);
    EXPECT_EQ(actions_of_type<SendAttempt>(actions).empty(), consumed);
    EXPECT_EQ(actions_of_type<RejectRequest>(actions).size(), consumed ? 1U : 0U)
        << "no server has begun the request";
  }
}

TEST(RetryPolicy, AttemptTimeoutFollowsObservedLatency) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(4));
  const Seconds before = actions_of_type<SendAttempt>(replica.request("first"))[0].timeout;
  for (int i = 0; i < 100; ++i) {
    replica.now = i * 0.1;
    replica.request(std::to_string(i));
    replica.end_attempt(std::to_string(i), Outcome::kSuccess, 0, 0.05);
  }
  const Seconds after = actions_of_type<SendAttempt>(replica.request("last"))[0].timeout;
  EXPECT_LT(after, before / 2);
  EXPECT_GT(after, 0.05);
}

// Whether the outcome of an attempt shows that no server has executed the request.
bool excludes_execution(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

// Four cells with two endpoints each. The two endpoints of a cell are in different zones.
EndpointUpdate make_snapshot_with_cells() {
  EndpointUpdate snapshot;
  for (int i = 0; i < 8; ++i) snapshot.endpoints.push_back(make_endpoint(i, i % 2, i / 2));
  return snapshot;
}

// Sends one request, whose first attempt ends with `first_outcome`, and checks its retries and final
// response.
class RetryScenario {
 public:
  RetryScenario(const IdempotencyPolicy& policy, Outcome first_outcome, std::uint64_t seed)
      : policy_(policy),
        first_outcome_(first_outcome),
        replica_(basic_settings(make_request_class(policy.idempotency, policy.dedup_scope)), seed) {
    for (const Endpoint& endpoint : make_snapshot_with_cells().endpoints)
      endpoints_[endpoint.address] = endpoint;
    replica_.handle(0, make_snapshot_with_cells());
  }

  void run() {
    auto actions = replica_.request("r");
    for (int attempt = 0; attempt < 10; ++attempt) {
      const auto sent = actions_of_type<SendAttempt>(actions);
      if (sent.empty()) return expect_valid_final_response(actions);
      ASSERT_EQ(sent.size(), 1U);
      const Endpoint& endpoint = endpoints_[sent[0].endpoint];
      expect_valid_retry(endpoint);
      const Outcome outcome = attempt == 0 ? first_outcome_ : Outcome::kConnectFailed;
      if (!may_have_run_at_ && !excludes_execution(outcome)) may_have_run_at_ = endpoint;
      replica_.now += 0.05;
      actions = replica_.end_attempt("r", outcome, attempt);
      ASSERT_LT(attempt, 9);
    }
  }

 private:
  bool is_keyed(DedupScope scope) const {
    return policy_.idempotency == Idempotency::kIdempotencyKey && policy_.dedup_scope == scope;
  }

  void expect_valid_retry(const Endpoint& endpoint) const {
    if (!may_have_run_at_) return;
    EXPECT_NE(policy_.idempotency, Idempotency::kNotIdempotent);
    if (is_keyed(DedupScope::kZone)) {
      EXPECT_EQ(endpoint.zone, may_have_run_at_->zone);
    }
    if (is_keyed(DedupScope::kCell)) {
      EXPECT_EQ(endpoint.cell, may_have_run_at_->cell);
    }
  }

  void expect_valid_final_response(const std::vector<Action>& actions) const {
    EXPECT_EQ(count_final_responses(actions), 1U);
    const bool rejected = !actions_of_type<RejectRequest>(actions).empty();
    if (rejected && may_have_run_at_ && policy_.idempotency != Idempotency::kIdempotent) {
      EXPECT_TRUE(is_keyed(DedupScope::kAll));
    }
  }

  IdempotencyPolicy policy_;
  Outcome first_outcome_;
  TestReplica replica_;
  std::map<std::string, Endpoint> endpoints_;
  std::optional<Endpoint> may_have_run_at_;
};

// Combines every idempotency policy with every failure of the first attempt.
TEST(RetryPolicy, RetriesRespectIdempotencyAndDedupScope) {
  const IdempotencyPolicy policies[] = {{Idempotency::kIdempotent, DedupScope::kCell},
                                        {Idempotency::kIdempotencyKey, DedupScope::kAll},
                                        {Idempotency::kIdempotencyKey, DedupScope::kZone},
                                        {Idempotency::kIdempotencyKey, DedupScope::kCell},
                                        {Idempotency::kNotIdempotent, DedupScope::kCell}};
  for (const IdempotencyPolicy& policy : policies) {
    for (const Outcome first_outcome : kFailureOutcomes) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RetryScenario(policy, first_outcome, seed).run();
        if (HasFatalFailure()) return;
      }
    }
  }
}

TEST(RetryPolicy, KeyedRequestIsNotRetriedAfterDedupWindow) {
  RequestClass request_class = make_request_class(Idempotency::kIdempotencyKey, DedupScope::kAll);
  request_class.dedup_window = 0.5;
  TestReplica replica(basic_settings(request_class));
  replica.handle(0, make_snapshot(4));
  ASSERT_EQ(actions_of_type<SendAttempt>(replica.request("r")).size(), 1U);
  replica.now = 0.6;
  EXPECT_TRUE(actions_of_type<SendAttempt>(replica.end_attempt("r", Outcome::kServerError)).empty());
}

}  // namespace
}  // namespace asterdrift::balancer
