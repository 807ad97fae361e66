// Which outcomes move a tenant's rate limit: rejections, timeouts and failed connections alone, since only
// these say something about the capacity behind the limit. Errors do not.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "support/balancer_fixture.h"
#include "support/simulated_call_chain.h"

namespace asterdrift::balancer {
namespace {

constexpr int kRequestRate = 120;  // requests/s
constexpr int kRaisingTime = 20;   // s; successes in this time raise the limit well above the quota
constexpr int kFailingTime = 5;    // s

// Sends requests for some seconds, of which each `failure_interval`th ends with `outcome`; 0: none.
void send_requests(TestReplica& replica, int& sent_requests, int seconds, Outcome outcome,
                   int failure_interval) {
  for (int i = 0; i < seconds * kRequestRate; ++i) {
    replica.now = ++sent_requests / static_cast<double>(kRequestRate);
    const std::string id = std::to_string(sent_requests);
    if (actions_of_type<SendAttempt>(replica.request(id)).empty()) continue;
    const bool fails = failure_interval > 0 && i % failure_interval == 0;
    replica.end_attempt(id, fails ? outcome : Outcome::kSuccess);
  }
}

// The factor by which a raised limit changes while each `failure_interval`th request ends with `outcome`.
double rate_limit_change(Outcome outcome, int failure_interval) {
  Settings settings = basic_settings();
  settings.max_attempts = 1;
  settings.tenants = {{100.0}};
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(16));
  int sent_requests = 0;
  send_requests(replica, sent_requests, kRaisingTime, outcome, 0);
  const double before = replica.balancer.tenant_metrics(replica.now, 0).rate_limit;
  send_requests(replica, sent_requests, kFailingTime, outcome, failure_interval);
  return replica.balancer.tenant_metrics(replica.now, 0).rate_limit / before;
}

TEST(RateLimitFeedback, ErrorsAndResetConnectionsDoNotChangeRateLimit) {
  for (const Outcome outcome : {Outcome::kServerError, Outcome::kConnectionReset, Outcome::kUnknown}) {
    EXPECT_GE(rate_limit_change(outcome, 3), 1);         // the successes between them may raise it
    EXPECT_DOUBLE_EQ(rate_limit_change(outcome, 1), 1);  // errors alone do not
  }
}

TEST(RateLimitFeedback, RejectionsTimeoutsAndConnectFailuresLowerRateLimit) {
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kTimedOut, Outcome::kConnectFailed}) {
    EXPECT_LT(rate_limit_change(outcome, 3), 0.9);
  }
}

// A limit that falls with each error would make a tier with capacity for all requests reject most of them.
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
        scenario.failure = [=](int tier, double, double chance) {
          return tier == failing_tier && chance < 0.5 ? std::optional(outcome) : std::nullopt;
        };
        const CallChainCounts counts = SimulatedCallChain(scenario).run();
        EXPECT_GT(counts.succeeded, counts.requests * 45 / 100) << "tier " << failing_tier;
      }
    }
  }
}

}  // namespace
}  // namespace asterdrift::balancer
