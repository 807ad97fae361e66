// A tenant's limit and calls that are answered by errors: DESIGN names refusals, time-outs and failed
// connections alone, since only these tell of the room behind the limit.
#include <gtest/gtest.h>

#include <optional>

#include "support/chain_model.h"

namespace asterdrift::balancer {
namespace {

// By what factor a limit moves that answers have raised well above its floor, by calls at 120/s for 5 s of
// which each `every`th ends so, with no further attempt.
double moved(Outcome outcome, int every) {
  Settings s = basic_settings();
  s.max_attempts = 1;
  s.tenants = {{100.0}};
  TestReplica replica(s);
  replica.at(0, members(16));
  int calls = 0;
  const auto feed = [&](int count, int every_so) {
    for (int i = 0; i < count; ++i) {
      replica.now = ++calls / 120.0;
      const std::string id = std::to_string(calls);
      if (all<SendAttempt>(replica.request(id)).empty()) continue;
      replica.end(id, every_so > 0 && i % every_so == 0 ? outcome : Outcome::kSuccess);
    }
  };
  feed(20 * 120, 0);
  const double before = replica.balancer.tenant(replica.now, 0).rate_limit;
  feed(5 * 120, every);
  return replica.balancer.tenant(replica.now, 0).rate_limit / before;
}

TEST(RateLimitFeedback, ErrorsAndResetConnectionsDoNotChangeRateLimit) {
  for (const Outcome outcome : {Outcome::kServerError, Outcome::kConnectionReset, Outcome::kUnknown}) {
    EXPECT_GE(moved(outcome, 3), 1);         // what is answered between them may raise it
    EXPECT_DOUBLE_EQ(moved(outcome, 1), 1);  // errors alone do not
  }
}

TEST(RateLimitFeedback, RejectionsTimeoutsAndConnectFailuresLowerRateLimit) {
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kTimedOut, Outcome::kConnectFailed}) {
    EXPECT_LT(moved(outcome, 3), 0.9);
  }
}

// The limit fell with each error, and a tier with room for all turned most of its calls away.
TEST(RateLimitFeedback, OtherRequestsAreServedWhileHalfOfThemFail) {
  for (const int tier : {0, 1}) {
    for (const Idempotency effect : {Idempotency::kIdempotent, Idempotency::kNotIdempotent}) {
      for (const Outcome outcome : {Outcome::kServerError, Outcome::kConnectionReset}) {
        ChainModel::Setup setup;
        setup.tiers = tier + 1;
        setup.servers = 8;
        setup.work = 0.05;
        setup.seconds = 30;
        setup.settings = basic_settings(class_of(effect));
        setup.failure = [=](int at, double, double chance) {
          return at == tier && chance < 0.5 ? std::optional(outcome) : std::nullopt;
        };
        const ChainModel::Counts counts = ChainModel(setup).run();
        EXPECT_GT(counts.served, counts.requests * 45 / 100) << "tier " << tier;
      }
    }
  }
}

}  // namespace
}  // namespace asterdrift::balancer
