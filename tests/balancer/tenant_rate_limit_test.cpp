// The rate limit that a replica learns for a tenant.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "support/balancer_fixture.h"
#include "support/steady_load.h"

namespace asterdrift::balancer {
namespace {

TEST(TenantRateLimit, RisesWhileRequestsFinishInTime) {
  TestReplica replica(settings_with_quota(10));
  replica.handle(0, make_snapshot(4));
  const double before = replica.balancer.tenant_metrics(0, 0).rate_limit;
  send_steady_load(replica, 0, 10, before * 0.9, "a");
  EXPECT_GT(replica.balancer.tenant_metrics(replica.now, 0).rate_limit, before);
  EXPECT_LT(replica.balancer.tenant_metrics(replica.now, 0).rate_limit, before * 2);
}

TEST(TenantRateLimit, DropsOnRejectionsButNotBelowQuota) {
  TestReplica replica(settings_with_quota(100));
  replica.handle(0, make_snapshot(4));
  send_steady_load(replica, 0, 40, 120, "up");
  const double before = replica.balancer.tenant_metrics(replica.now, 0).rate_limit;
  ASSERT_GT(before, 130);
  send_steady_load(replica, 40, 5, before, "a", Outcome::kRejected);
  EXPECT_LT(replica.balancer.tenant_metrics(replica.now, 0).rate_limit, before);
  send_steady_load(replica, 45, 60, 50, "b", Outcome::kRejected);
  EXPECT_GE(replica.balancer.tenant_metrics(replica.now, 0).rate_limit, 100);
}

// Sends requests. Every sixth response takes 1.5 s and the others 0.3 s. Returns the number of rejected
// requests.
int send_load_with_slow_responses(TestReplica& replica, int requests, double rate) {
  int rejected = 0;
  for (int i = 0; i < requests; ++i) {
    replica.now = i / rate;
    const std::string id = std::to_string(i);
    rejected += static_cast<int>(actions_of_type<RejectRequest>(replica.request(id)).size());
    replica.end_attempt(id, Outcome::kSuccess, 0, i % 6 == 0 ? 1.5 : 0.3);
  }
  return rejected;
}

// Among few requests some are always slow, which says nothing about the capacity of the servers.
TEST(TenantRateLimit, FewSlowRequestsDoNotLowerLimitBelowQuotaShare) {
  Settings settings = settings_with_quota(8 * 20);
  settings.replica_count = 20;
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(16));
  EXPECT_EQ(send_load_with_slow_responses(replica, 480, 8.0), 0);
}

TEST(TenantRateLimit, IsLoweredAtMostOncePerReview) {
  TestReplica replica(settings_with_quota(100));
  replica.handle(0, make_snapshot(4));
  send_steady_load(replica, 0, 0.9, 200, "a", Outcome::kRejected);
  const double lowered = replica.balancer.tenant_metrics(replica.now, 0).rate_limit;
  send_steady_load(replica, 0.9, 0.05, 200, "b", Outcome::kRejected);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant_metrics(replica.now, 0).rate_limit, lowered);
}

// Without a quota the only lower bound of the limit is the rate of the requests that succeed.
TEST(TenantRateLimit, WithoutQuotaStaysAboveRateOfSuccesses) {
  for (const bool has_tenant : {false, true}) {
    for (const int tier : {0, 1}) {
      Settings settings = basic_settings();
      settings.tier = tier;
      if (has_tenant) settings.tenants = {{std::nullopt}};
      TestReplica replica(settings);
      replica.handle(0, make_snapshot(16));
      EXPECT_LT(send_load_with_slow_responses(replica, 1200, 20.0), 60) << "tier " << tier;
    }
  }
}

TEST(TenantRateLimit, WithoutQuotaIsLoweredByRejections) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(16));
  send_steady_load(replica, 0, 20, 40, "a");
  send_steady_load(replica, 20, 60, 40, "b", Outcome::kRejected);
  EXPECT_LT(replica.balancer.tenant_metrics(replica.now, 0).rate_limit, 10);
}

TEST(TenantRateLimit, OverloadDoesNotLowerLimitBelowQuotaShare) {
  Settings settings = settings_with_quota(400);
  settings.replica_count = 400;
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(4));
  send_steady_load(replica, 0, 60, 3, "a", Outcome::kRejected);
  EXPECT_GE(replica.balancer.tenant_metrics(replica.now, 0).rate_limit, 1);
}

}  // namespace
}  // namespace asterdrift::balancer
