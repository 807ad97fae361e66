// Settings that cannot be used.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

TEST(Settings, InvalidFieldIsNamed) {
  const auto message = [](auto change) {
    Settings s = basic_settings();
    s.tenants = {{1.0}};
    change(s);
    try {
      const Balancer b(s, 1);
    } catch (const std::invalid_argument& problem) {
      return std::string(problem.what());
    }
    return std::string("accepted");
  };
  const auto names = [&](auto change, const char* field) {
    EXPECT_NE(message(change).find(field), std::string::npos) << field << ": " << message(change);
  };
  names([](Settings& s) { s.replica_count = 0; }, "replica_count");
  names([](Settings& s) { s.replica_index = 1; }, "replica_index");
  names([](Settings& s) { s.replica_index = -1; }, "replica_index");
  names([](Settings& s) { s.clock_granularity = -1; }, "clock_granularity");
  names([](Settings& s) { s.tier = -1; }, "tier");
  names([](Settings& s) { s.max_attempts = 0; }, "max_attempts");
  names([](Settings& s) { s.max_retry_after = -1; }, "max_retry_after");
  names([](Settings& s) { s.poll_within = -1; }, "poll_within");
  names([](Settings& s) { s.slow_start_duration = -1; }, "slow_start_duration");
  names([](Settings& s) { s.over_quota_priority_weight = -1; }, "over_quota_priority_weight");
  names([](Settings& s) { s.slow_start_capacity = 1.5; }, "slow_start_capacity");
  names([](Settings& s) { s.classes[0].idempotency = static_cast<Idempotency>(9); }, "idempotency");
  names([](Settings& s) { s.classes[0].dedup_scope = static_cast<DedupScope>(9); }, "dedup_scope");
  names([](Settings& s) { s.classes[0].latency_objective = -1; }, "latency_objective");
  names([](Settings& s) { s.classes[0].timeout = -1; }, "timeout");
  names([](Settings& s) { s.classes[0].dedup_window = -1; }, "dedup_window");
  names([](Settings& s) { s.tenants[0].quota = -1; }, "quota");
  names([](Settings& s) { s.classes[0].latency_objective = std::numeric_limits<double>::quiet_NaN(); },
        "latency_objective");
  EXPECT_EQ(message([](Settings&) {}), "accepted");
}

TEST(Settings, OutOfRangeIndexesInEventsAreTolerated) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(2));
  EXPECT_EQ(only<SendAttempt>(replica.request("a", 77, 88)).size(), 1U);
  EXPECT_TRUE(replica.end_attempt("a", Outcome::kSuccess, 9).empty());
  EXPECT_TRUE(replica.end_attempt("a", Outcome::kSuccess, -1).empty());
  EXPECT_TRUE(replica.end_attempt("never", Outcome::kSuccess).empty());
  EXPECT_TRUE(replica.handle(0, TimerFired{12345}).empty());
  EXPECT_TRUE(replica.handle(0, RequestAborted{"never"}).empty());
  EXPECT_GE(replica.balancer.tenant(0, 1234).rate_limit, 0);
}
}  // namespace
}  // namespace asterdrift::balancer
