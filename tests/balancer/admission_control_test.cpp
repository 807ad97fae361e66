// Admission control: suppression, its three regimes, and the limit that is learned.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

Settings one_tenant(double quota) {
  Settings s = basic_settings();
  s.tenants = {{quota}};
  return s;
}

// Calls at a steady rate, each answered at once; returns how many were admitted.
int offer(TestReplica& replica, double from, double seconds, double rate, const std::string& prefix,
          Outcome outcome = Outcome::kSuccess) {
  int admitted = 0;
  const int calls = static_cast<int>(seconds * rate);
  for (int i = 0; i < calls; ++i) {
    replica.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    if (only<SendAttempt>(replica.request(id)).empty()) continue;
    ++admitted;
    const auto after = replica.end_attempt(id, outcome);
    for (const SendAttempt& again : only<SendAttempt>(after))
      replica.end_attempt(again.id, Outcome::kSuccess, 1);
  }
  return admitted;
}

TEST(SuppressionFactor, MatchesWorkedExamples) {
  EXPECT_NEAR(suppression_factor(10, 14, 14), 0.286, 0.0005);
  EXPECT_NEAR(suppression_factor(10, 11.67, 12), 0.167, 0.0005);
  EXPECT_NEAR(suppression_factor(10, 13.33, 15), 0.333, 0.0005);
}

TEST(SuppressionFactor, UsesHigherRateAndStaysInRange) {
  EXPECT_DOUBLE_EQ(suppression_factor(10, 20, 5), 0.5);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 5, 20), 0.5);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 5, 5), 0);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 0, 0), 0);
  EXPECT_DOUBLE_EQ(suppression_factor(std::numeric_limits<double>::infinity(), 5, 5), 0);
}

TEST(AdmissionControl, RequestsBelowRateLimitAreAdmitted) {
  TestReplica replica(one_tenant(100));
  replica.handle(0, make_snapshot(4));
  EXPECT_EQ(offer(replica, 0, 10, 50, "a"), 500);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(replica.now, 0).suppression_factor, 0);
}

TEST(AdmissionControl, ExcessAboveRateLimitIsDeniedProportionally) {
  Settings s = one_tenant(10);
  s.over_quota_priority_weight = 0;  // the limit stays where it starts
  TestReplica replica(s);
  replica.handle(0, make_snapshot(4));
  const double limit = replica.balancer.tenant(0, 0).rate_limit;
  const int admitted = offer(replica, 0, 8, 4 * limit, "a");
  const TenantView view = replica.balancer.tenant(replica.now, 0);
  EXPECT_GT(admitted, 0.8 * limit * 8);
  EXPECT_LT(admitted, 1.6 * limit * 8);
  EXPECT_NEAR(view.suppression_factor, 1 - view.rate_limit / (4 * limit), 0.05);
  EXPECT_GT(view.declined, 0);
}

TEST(AdmissionControl, AllAreDeniedAtHardLimit) {
  TestReplica replica(one_tenant(10));
  replica.handle(0, make_snapshot(4));
  const double limit = replica.balancer.tenant(0, 0).rate_limit;
  const double flood = 400 * limit;
  int late_admissions = 0;
  for (int i = 0; i < static_cast<int>(flood); ++i) {
    replica.now = i / flood;
    const bool sent = !only<SendAttempt>(replica.request("r" + std::to_string(i))).empty();
    if (i > flood * 0.9 && sent) ++late_admissions;
  }
  EXPECT_EQ(late_admissions, 0);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(replica.now, 0).suppression_factor, 1);
}

TEST(AdmissionControl, WindowExpires) {
  TestReplica replica(one_tenant(10));
  replica.handle(0, make_snapshot(4));
  for (int i = 0; i < 500; ++i) replica.request("r" + std::to_string(i));
  EXPECT_GT(replica.balancer.tenant(0, 0).suppression_factor, 0.5);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(1.35, 0).total, 500);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(1.65, 0).total, 0);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(1.65, 0).suppression_factor, 0);
}

// The factor is kept for 100 ms: a flood within that time is met with the factor from before it.
TEST(AdmissionControl, SuppressionFactorIsCached) {
  Settings s = one_tenant(100);
  s.over_quota_priority_weight = 0;
  TestReplica replica(s);
  replica.handle(0, make_snapshot(4));
  const double limit = replica.balancer.tenant(0, 0).rate_limit;
  const int soft = static_cast<int>(1.5 * limit);
  const auto pour = [&](double time, int calls, const std::string& prefix) {
    int admitted = 0;
    for (int i = 0; i < calls; ++i) {
      replica.now = time;
      const std::string id = prefix + std::to_string(i);
      if (only<SendAttempt>(replica.request(id)).empty()) continue;
      ++admitted;
      replica.end_attempt(id, Outcome::kSuccess);
    }
    return admitted;
  };
  EXPECT_EQ(pour(0, soft, "fill"), soft);
  EXPECT_NEAR(pour(0.01, 1000, "cached"), 667, 60);  // the factor from when the flood began: a third
  const double factor = replica.balancer.tenant(0.12, 0).suppression_factor;
  EXPECT_GT(factor, 0.85);
  EXPECT_NEAR(pour(0.12, 1000, "fresh"), 1000 * (1 - factor), 40);
}

TEST(AdmissionControl, DeniedRequestIsRejectedWithoutAttempt) {
  TestReplica replica(one_tenant(10));
  replica.handle(0, make_snapshot(4));
  int refused = 0;
  for (int i = 0; i < 900; ++i) {
    replica.now = 0.001 * i;
    const auto actions = replica.request("r" + std::to_string(i));
    EXPECT_EQ(only<RejectRequest>(actions).size() + only<SendAttempt>(actions).size(), 1U);
    refused += static_cast<int>(only<RejectRequest>(actions).size());
    if (!only<SendAttempt>(actions).empty()) replica.end_attempt("r" + std::to_string(i), Outcome::kSuccess);
  }
  EXPECT_GT(refused, 300);
  EXPECT_EQ(replica.balancer.tenant(replica.now, 0).declined, refused);
}

TEST(TenantRateLimit, RisesWhileRequestsFinishInTime) {
  TestReplica replica(one_tenant(10));
  replica.handle(0, make_snapshot(4));
  const double before = replica.balancer.tenant(0, 0).rate_limit;
  offer(replica, 0, 10, before * 0.9, "a");
  EXPECT_GT(replica.balancer.tenant(replica.now, 0).rate_limit, before);
  EXPECT_LT(replica.balancer.tenant(replica.now, 0).rate_limit, before * 2);
}

TEST(TenantRateLimit, DropsOnRejectionsButNotBelowQuota) {
  TestReplica replica(one_tenant(100));
  replica.handle(0, make_snapshot(4));
  offer(replica, 0, 40, 120, "up");
  const double before = replica.balancer.tenant(replica.now, 0).rate_limit;
  ASSERT_GT(before, 130);
  offer(replica, 40, 5, before, "a", Outcome::kRejected);
  EXPECT_LT(replica.balancer.tenant(replica.now, 0).rate_limit, before);
  offer(replica, 45, 60, 50, "b", Outcome::kRejected);
  EXPECT_GE(replica.balancer.tenant(replica.now, 0).rate_limit, 100);
}

// Of a few calls one is always slow; a replica of many that was cut for it denied a third of a calm day.
TEST(TenantRateLimit, FewSlowRequestsDoNotLowerReplicaBelowItsQuota) {
  Settings s = one_tenant(8 * 20);
  s.replica_count = 20;
  TestReplica replica(s);
  replica.handle(0, make_snapshot(16));
  int denied = 0;
  for (int i = 0; i < 480; ++i) {  // its part, 8 a second; every sixth is answered late in its aim
    replica.now = i / 8.0;
    const std::string id = std::to_string(i);
    denied += static_cast<int>(only<RejectRequest>(replica.request(id)).size());
    replica.end_attempt(id, Outcome::kSuccess, 0, i % 6 == 0 ? 1.5 : 0.3);
  }
  EXPECT_EQ(denied, 0);
}

TEST(TenantRateLimit, IsLoweredOncePerReview) {
  TestReplica replica(one_tenant(100));
  replica.handle(0, make_snapshot(4));
  offer(replica, 0, 0.9, 200, "a", Outcome::kRejected);
  const double once = replica.balancer.tenant(replica.now, 0).rate_limit;
  offer(replica, 0.9, 0.05, 200, "b", Outcome::kRejected);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(replica.now, 0).rate_limit, once);
}

// Where no quota is told a limit has no part to stand on. Some calls are slow on any day, and one
// cut after another left a replica with its least rate while nearly all of its calls ended well.
TEST(TenantRateLimit, WithoutQuotaStaysAboveRateOfSuccesses) {
  for (const bool named : {false, true}) {
    for (const int tier : {0, 1}) {
      Settings s = basic_settings();
      s.tier = tier;
      if (named) s.tenants = {{std::nullopt}};
      TestReplica replica(s);
      replica.handle(0, make_snapshot(16));
      int denied = 0;
      for (int i = 0; i < 1200; ++i) {  // every sixth is answered late in its aim
        replica.now = i / 20.0;
        const std::string id = std::to_string(i);
        denied += static_cast<int>(only<RejectRequest>(replica.request(id)).size());
        replica.end_attempt(id, Outcome::kSuccess, 0, i % 6 == 0 ? 1.5 : 0.3);
      }
      EXPECT_LT(denied, 60) << "tier " << tier;
    }
  }
}

// And what no server answers any more is still held back.
TEST(TenantRateLimit, WithoutQuotaIsLoweredByRejections) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(16));
  offer(replica, 0, 20, 40, "a");
  offer(replica, 20, 60, 40, "b", Outcome::kRejected);
  EXPECT_LT(replica.balancer.tenant(replica.now, 0).rate_limit, 10);
}

// A limit that an overload had pushed under the tenant's part stayed there for the rest of the day.
TEST(TenantRateLimit, OverloadDoesNotLowerReplicaBelowItsQuota) {
  Settings s = one_tenant(400);
  s.replica_count = 400;
  TestReplica replica(s);
  replica.handle(0, make_snapshot(4));
  offer(replica, 0, 60, 3, "a", Outcome::kRejected);
  EXPECT_GE(replica.balancer.tenant(replica.now, 0).rate_limit, 1);
}
}  // namespace
}  // namespace asterdrift::balancer
