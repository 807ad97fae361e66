// Admission control: which requests of a tenant are denied below, above and far above its rate limit.
#include <gtest/gtest.h>

#include <string>

#include "support/balancer_fixture.h"
#include "support/steady_load.h"

namespace asterdrift::balancer {
namespace {

TEST(AdmissionControl, RequestsBelowRateLimitAreAdmitted) {
  TestReplica replica(settings_with_quota(100));
  replica.handle(0, make_snapshot(4));
  EXPECT_EQ(send_steady_load(replica, 0, 10, 50, "a"), 500);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_metrics(replica.now, 0).suppression_factor, 0);
}

TEST(AdmissionControl, ExcessAboveRateLimitIsDeniedProportionally) {
  Settings settings = settings_with_quota(10);
  settings.over_quota_priority_weight = 0;  // keeps the rate limit from rising
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(4));
  const double limit = replica.balancer.tenant_metrics(0, 0).rate_limit;
  const int admitted = send_steady_load(replica, 0, 8, 4 * limit, "a");
  const TenantMetrics metrics = replica.balancer.tenant_metrics(replica.now, 0);
  EXPECT_GT(admitted, 0.8 * limit * 8);
  EXPECT_LT(admitted, 1.6 * limit * 8);
  EXPECT_NEAR(metrics.suppression_factor, 1 - metrics.rate_limit / (4 * limit), 0.05);
  EXPECT_GT(metrics.rejected_in_window, 0);
}

TEST(AdmissionControl, AllRequestsAreDeniedAtHardLimit) {
  TestReplica replica(settings_with_quota(10));
  replica.handle(0, make_snapshot(4));
  const double limit = replica.balancer.tenant_metrics(0, 0).rate_limit;
  const double requests = 400 * limit;  // number of requests within one second
  int admitted_at_end = 0;
  for (int i = 0; i < static_cast<int>(requests); ++i) {
    replica.now = i / requests;
    const bool admitted = !actions_of_type<SendAttempt>(replica.request("r" + std::to_string(i))).empty();
    if (i > requests * 0.9 && admitted) ++admitted_at_end;
  }
  EXPECT_EQ(admitted_at_end, 0);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_metrics(replica.now, 0).suppression_factor, 1);
}

TEST(AdmissionControl, SlidingWindowExpires) {
  TestReplica replica(settings_with_quota(10));
  replica.handle(0, make_snapshot(4));
  for (int i = 0; i < 500; ++i) replica.request("r" + std::to_string(i));
  EXPECT_GT(replica.balancer.tenant_metrics(0, 0).suppression_factor, 0.5);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_metrics(1.35, 0).requests_in_window, 500);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_metrics(1.65, 0).requests_in_window, 0);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_metrics(1.65, 0).suppression_factor, 0);
}

// Sends requests that all arrive at `time` and succeed at once. Returns the number of admitted requests.
int send_at_once(TestReplica& replica, Seconds time, int requests, const std::string& id_prefix) {
  int admitted = 0;
  for (int i = 0; i < requests; ++i) {
    replica.now = time;
    const std::string id = id_prefix + std::to_string(i);
    if (actions_of_type<SendAttempt>(replica.request(id)).empty()) continue;
    ++admitted;
    replica.end_attempt(id, Outcome::kSuccess);
  }
  return admitted;
}

// The suppression factor is cached for 100 ms, so a burst within that time is judged by the factor from
// before the burst.
TEST(AdmissionControl, SuppressionFactorIsCached) {
  Settings settings = settings_with_quota(100);
  settings.over_quota_priority_weight = 0;
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(4));
  const double limit = replica.balancer.tenant_metrics(0, 0).rate_limit;
  const int soft_limit = static_cast<int>(1.5 * limit);
  EXPECT_EQ(send_at_once(replica, 0, soft_limit, "fill"), soft_limit);
  // The cached factor still denies a third of the requests, as at the beginning of this burst.
  EXPECT_NEAR(send_at_once(replica, 0.01, 1000, "cached"), 667, 60);
  const double factor = replica.balancer.tenant_metrics(0.12, 0).suppression_factor;
  EXPECT_GT(factor, 0.85);
  EXPECT_NEAR(send_at_once(replica, 0.12, 1000, "fresh"), 1000 * (1 - factor), 40);
}

TEST(AdmissionControl, DeniedRequestIsRejectedWithoutAttempt) {
  TestReplica replica(settings_with_quota(10));
  replica.handle(0, make_snapshot(4));
  int rejected = 0;
  for (int i = 0; i < 900; ++i) {
    replica.now = 0.001 * i;
    const std::string id = "r" + std::to_string(i);
    const auto actions = replica.request(id);
    EXPECT_EQ(actions_of_type<RejectRequest>(actions).size() + actions_of_type<SendAttempt>(actions).size(),
              1U);
    rejected += static_cast<int>(actions_of_type<RejectRequest>(actions).size());
    if (!actions_of_type<SendAttempt>(actions).empty()) replica.end_attempt(id, Outcome::kSuccess);
  }
  EXPECT_GT(rejected, 300);
  EXPECT_EQ(replica.balancer.tenant_metrics(replica.now, 0).rejected_in_window, rejected);
}

}  // namespace
}  // namespace asterdrift::balancer
