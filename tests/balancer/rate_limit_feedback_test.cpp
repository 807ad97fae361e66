// Which outcomes change a tenant's rate limit: only rejections, timeouts and failed connections lower it,
// because only these outcomes depend on the capacity of the servers. Errors do not.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "support/balancer_fixture.h"
#include "support/simulated_call_chain.h"

namespace asterdrift::balancer {
namespace {

constexpr int kRequestsPerSecond = 120;
constexpr int kRaisingSeconds = 20;  // successes during this time raise the limit well above the quota
constexpr int kFailingSeconds = 5;

// Sends requests for some seconds. Every `failure_interval`th request ends with `outcome`, the others
// succeed; with an interval of 0 all succeed.
void send_requests(TestReplica& replica, int& last_request_number, int seconds, Outcome outcome,
                   int failure_interval) {
  for (int i = 0; i < seconds * kRequestsPerSecond; ++i) {
    replica.now = ++last_request_number / static_cast<double>(kRequestsPerSecond);
    const std::string id = std::to_string(last_request_number);
    if (actions_of_type<SendAttempt>(replica.request(id)).empty()) continue;
    const bool fails = failure_interval > 0 && i % failure_interval == 0;
    replica.end_attempt(id, fails ? outcome : Outcome::kSuccess);
  }
}

// The factor by which a raised limit changes while every `failure_interval`th request ends with `outcome`.
double rate_limit_change(Outcome outcome, int failure_interval) {
  Settings settings = basic_settings();
  settings.max_attempts = 1;
  settings.tenants = {{100.0}};
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(16));
  int last_request_number = 0;
  send_requests(replica, last_request_number, kRaisingSeconds, outcome, 0);
  const double before = replica.balancer.tenant_metrics(replica.now, 0).rate_limit;
  send_requests(replica, last_request_number, kFailingSeconds, outcome, failure_interval);
  return replica.balancer.tenant_metrics(replica.now, 0).rate_limit / before;
}

TEST(RateLimitFeedback, ErrorsAndResetConnectionsDoNotChangeRateLimit) {
  for (const Outcome outcome : {Outcome::kServerError, Outcome::kConnectionReset, Outcome::kUnknown}) {
    EXPECT_GE(rate_limit_change(outcome, 3), 1);  // the successes between the errors may raise the limit
    EXPECT_DOUBLE_EQ(rate_limit_change(outcome, 1), 1);  // errors alone do not change the limit
  }
}

TEST(RateLimitFeedback, RejectionsTimeoutsAndConnectFailuresLowerRateLimit) {
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kTimedOut, Outcome::kConnectFailed}) {
    EXPECT_LT(rate_limit_change(outcome, 3), 0.9);
  }
}

// A rate limit that fell with each error would make a tier reject most requests although it has the capacity
// for all of them.
TEST(RateLimitFeedback, OtherRequestsAreServedWhileHalfOfThemFail) {
  for (const int failing_tier : {0, 1}) {
    for (const Idempotency idempotency : {Idempotency::kIdempotent, Idempotency::kNotIdempotent}) {
      for (const Outcome outcome : {Outcome::kServerError, Outcome::kConnectionReset}) {
        CallChainScenario scenario;
        scenario.tiers = failing_tier + 1;
        scenario.servers_per_tier = 8;
        scenario.mean_service_time = 0.05;
        scenario.duration = 30;
        scenario.settings = basic_settings(make_request_class(idempotency));
        scenario.failure_model = [=](int tier, Seconds, double draw) {
          return tier == failing_tier && draw < 0.5 ? std::optional(outcome) : std::nullopt;
        };
        const CallChainCounts counts = SimulatedCallChain(scenario).run();
        EXPECT_GT(counts.succeeded, counts.requests * 45 / 100) << "tier " << failing_tier;
      }
    }
  }
}

}  // namespace
}  // namespace asterdrift::balancer
