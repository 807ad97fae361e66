// Retry policy: what is retried, where, and after how long.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

// A replica of many, with its part of the fleet's calls. They come at uneven times, answered late or never.
struct FleetDay {
  int sent = 0;
  int refused = 0;
};

TEST(RetryPolicy, RetriesAreBoundedByBudget) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(4));
  int firsts = 0;
  int others = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = only<SendAttempt>(replica.request(id));
    firsts += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt) {
      sends = only<SendAttempt>(replica.end_attempt(id, Outcome::kServerError, attempt));
      others += static_cast<int>(sends.size());
    }
  }
  EXPECT_GT(others, 0);
  EXPECT_LT(others, firsts / 4 + 10);
}

TEST(RetryPolicy, RetryGoesToAnotherEndpoint) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(3));
  const auto first = only<SendAttempt>(replica.request("r"));
  const auto second = only<SendAttempt>(replica.end_attempt("r", Outcome::kConnectionReset));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(first[0].endpoint, second[0].endpoint);
}

TEST(RetryPolicy, RequestWithConsumedBodyIsNotRetried) {
  for (const bool gone : {false, true}) {
    TestReplica replica(basic_settings());
    replica.handle(0, make_snapshot(4));
    replica.request("a");
    if (gone) replica.handle(0, RequestBodyConsumed{"a"});
    const std::vector<Action> actions = replica.end_attempt("a", Outcome::kConnectFailed);
    EXPECT_EQ(only<SendAttempt>(actions).empty(), gone);
    EXPECT_EQ(only<RejectRequest>(actions).size(), gone ? 1U : 0U) << "no server has begun it";
  }
}

TEST(RetryPolicy, AttemptTimeoutFollowsObservedLatency) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(4));
  const double before = only<SendAttempt>(replica.request("first"))[0].timeout;
  for (int i = 0; i < 100; ++i) {
    replica.now = i * 0.1;
    replica.request(std::to_string(i));
    replica.end_attempt(std::to_string(i), Outcome::kSuccess, 0, 0.05);
  }
  const double after = only<SendAttempt>(replica.request("last"))[0].timeout;
  EXPECT_LT(after, before / 2);
  EXPECT_GT(after, 0.05);
}
std::size_t finals(const std::vector<Action>& actions) {
  return only<RejectRequest>(actions).size() + only<FailRequest>(actions).size();
}

bool proves_unrun(Outcome o) {
  return o == Outcome::kRejected || o == Outcome::kConnectFailed || o == Outcome::kNotSent;
}

constexpr Outcome kFailures[] = {Outcome::kServerError,   Outcome::kRejected,        Outcome::kTimedOut,
                                 Outcome::kConnectFailed, Outcome::kConnectionReset, Outcome::kCancelled,
                                 Outcome::kNotSent,       Outcome::kUnknown};

EndpointUpdate two_cells() {
  EndpointUpdate m;
  for (int i = 0; i < 8; ++i) m.endpoints.push_back(make_endpoint(i, i % 2, i / 2));
  return m;
}

// Every effect and scope against every failure: what may be sent again, where, and what may be refused.
TEST(RetryPolicy, RetriesRespectIdempotencyAndDedupScope) {
  const std::pair<Idempotency, DedupScope> kinds[] = {{Idempotency::kIdempotent, DedupScope::kCell},
                                                      {Idempotency::kIdempotencyKey, DedupScope::kAll},
                                                      {Idempotency::kIdempotencyKey, DedupScope::kZone},
                                                      {Idempotency::kIdempotencyKey, DedupScope::kCell},
                                                      {Idempotency::kNotIdempotent, DedupScope::kCell}};
  std::map<std::string, Endpoint> told;
  for (const Endpoint& s : two_cells().endpoints) told[s.address] = s;
  for (const auto& [effect, scope] : kinds) {
    for (const Outcome first : kFailures) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TestReplica replica(basic_settings(make_request_class(effect, scope)), seed);
        replica.handle(0, two_cells());
        std::optional<Endpoint> may_have_run;
        std::string id = "r";
        auto actions = replica.request(id);
        for (int attempt = 0; attempt < 10; ++attempt) {
          const auto sends = only<SendAttempt>(actions);
          if (sends.empty()) {
            EXPECT_EQ(finals(actions), 1U);
            if (!only<RejectRequest>(actions).empty() && may_have_run && effect != Idempotency::kIdempotent) {
              EXPECT_TRUE(effect == Idempotency::kIdempotencyKey && scope == DedupScope::kAll);
            }
            break;
          }
          ASSERT_EQ(sends.size(), 1U);
          const Endpoint& s = told[sends[0].endpoint];
          if (may_have_run) {
            EXPECT_NE(effect, Idempotency::kNotIdempotent);
            if (effect == Idempotency::kIdempotencyKey && scope == DedupScope::kZone) {
              EXPECT_EQ(s.zone, may_have_run->zone);
            }
            if (effect == Idempotency::kIdempotencyKey && scope == DedupScope::kCell) {
              EXPECT_EQ(s.cell, may_have_run->cell);
            }
          }
          const Outcome outcome = attempt == 0 ? first : Outcome::kConnectFailed;
          if (!may_have_run && !proves_unrun(outcome)) may_have_run = s;
          replica.now += 0.05;
          actions = replica.end_attempt(id, outcome, attempt);
          ASSERT_LT(attempt, 9);
        }
      }
    }
  }
}

TEST(RetryPolicy, NothingIsRetriedAfterDedupWindow) {
  RequestClass c = make_request_class(Idempotency::kIdempotencyKey, DedupScope::kAll);
  c.dedup_window = 0.5;
  TestReplica replica(basic_settings(c));
  replica.handle(0, make_snapshot(4));
  ASSERT_EQ(only<SendAttempt>(replica.request("r")).size(), 1U);
  replica.now = 0.6;
  EXPECT_TRUE(only<SendAttempt>(replica.end_attempt("r", Outcome::kServerError)).empty());
}

}  // namespace
}  // namespace asterdrift::balancer
