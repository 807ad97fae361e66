// Invalid settings, and events with indexes that the settings do not contain.
#include <gtest/gtest.h>

#include <functional>
#include <limits>
#include <stdexcept>
#include <string>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

using ChangeSettings = std::function<void(Settings&)>;

// The error that a balancer reports for valid settings with this change, or "accepted".
std::string error_after(const ChangeSettings& change) {
  Settings settings = basic_settings();
  settings.tenants = {{1.0}};
  change(settings);
  try {
    const Balancer balancer(settings, 1);
  } catch (const std::invalid_argument& error) {
    return error.what();
  }
  return "accepted";
}

void expect_error_naming(const char* field, const ChangeSettings& change) {
  const std::string error = error_after(change);
  EXPECT_NE(error.find(field), std::string::npos) << field << ": " << error;
}

TEST(Settings, ErrorNamesInvalidField) {
  constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();
  expect_error_naming("replica_count", [](Settings& settings) { settings.replica_count = 0; });
  expect_error_naming("replica_index", [](Settings& settings) { settings.replica_index = 1; });
  expect_error_naming("replica_index", [](Settings& settings) { settings.replica_index = -1; });
  expect_error_naming("clock_granularity", [](Settings& settings) { settings.clock_granularity = -1; });
  expect_error_naming("tier", [](Settings& settings) { settings.tier = -1; });
  expect_error_naming("max_attempts", [](Settings& settings) { settings.max_attempts = 0; });
  expect_error_naming("max_retry_after", [](Settings& settings) { settings.max_retry_after = -1; });
  expect_error_naming("poll_within", [](Settings& settings) { settings.poll_within = -1; });
  expect_error_naming("slow_start_duration", [](Settings& settings) { settings.slow_start_duration = -1; });
  expect_error_naming("over_quota_priority_weight",
                      [](Settings& settings) { settings.over_quota_priority_weight = -1; });
  expect_error_naming("slow_start_capacity", [](Settings& settings) { settings.slow_start_capacity = 1.5; });
  expect_error_naming("idempotency", [](Settings& settings) {
    settings.classes[0].idempotency = static_cast<Idempotency>(9);
  });
  expect_error_naming("dedup_scope", [](Settings& settings) {
    settings.classes[0].dedup_scope = static_cast<DedupScope>(9);
  });
  expect_error_naming("latency_objective",
                      [](Settings& settings) { settings.classes[0].latency_objective = -1; });
  expect_error_naming("timeout", [](Settings& settings) { settings.classes[0].timeout = -1; });
  expect_error_naming("dedup_window", [](Settings& settings) { settings.classes[0].dedup_window = -1; });
  expect_error_naming("quota", [](Settings& settings) { settings.tenants[0].quota = -1; });
  expect_error_naming("latency_objective",
                      [](Settings& settings) { settings.classes[0].latency_objective = kNotANumber; });
  EXPECT_EQ(error_after([](Settings&) {}), "accepted");
}

TEST(Settings, OutOfRangeIndexesInEventsAreTolerated) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(2));
  EXPECT_EQ(actions_of_type<SendAttempt>(replica.request("a", 77, 88)).size(), 1U);
  EXPECT_TRUE(replica.end_attempt("a", Outcome::kSuccess, 9).empty());
  EXPECT_TRUE(replica.end_attempt("a", Outcome::kSuccess, -1).empty());
  EXPECT_TRUE(replica.end_attempt("never", Outcome::kSuccess).empty());
  EXPECT_TRUE(replica.handle(0, TimerFired{12345}).empty());
  EXPECT_TRUE(replica.handle(0, RequestAborted{"never"}).empty());
  EXPECT_GE(replica.balancer.tenant_metrics(0, 1234).rate_limit, 0);
}

}  // namespace
}  // namespace asterdrift::balancer
