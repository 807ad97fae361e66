// Retries in a deep call chain: the number of attempts at each of many tiers that one request to the first
// tier causes when attempts fail. The real module decides on every attempt and every retry budget.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <vector>

#include "support/balancer_fixture.h"
#include "support/simulated_call_chain.h"

namespace asterdrift::balancer {
namespace {

constexpr int kTiers = 28;
constexpr double kRetryBudgetPerSuccess = 0.2;
constexpr int kInitialRetryBudget = 5;  // retries of each replica
// The bound on attempts is larger by this factor if attempts whose connection failed are included.
constexpr double kMaxConnectFailureFactor = 1.1;

enum class FailingTiers { kEach, kLast, kMiddle };
const char* const kFailingTiersNames[] = {"each tier", "last tier", "one tier"};

struct FailureType {
  Outcome outcome;
  const char* name;
};
constexpr FailureType kFailureTypes[] = {{Outcome::kServerError, "error"},
                                         {Outcome::kRejected, "refused"},
                                         {Outcome::kConnectionReset, "reset"},
                                         {Outcome::kTimedOut, "timed out"},
                                         {Outcome::kConnectFailed, "dial failed"}};

struct FailureRate {
  double fraction;  // fraction of the attempts at a failing tier that fail
  const char* name;
  // Largest number of attempts that reach servers of any single tier, for each request to the first tier.
  double max_attempts;
};

CallChainScenario make_scenario(FailingTiers failing, Outcome outcome, double fraction, bool has_quota) {
  CallChainScenario scenario;
  scenario.tiers = kTiers;
  scenario.requests_per_second = 30;
  scenario.duration = 8;
  scenario.settings = basic_settings();
  scenario.settings.max_attempts = 5;
  if (has_quota) scenario.settings.tenants = {{scenario.requests_per_second}};
  scenario.failure_model = [=](int tier, Seconds, double draw) {
    const int failing_tier = failing == FailingTiers::kLast ? kTiers - 1 : kTiers / 2;
    const bool may_fail = failing == FailingTiers::kEach || tier == failing_tier;
    return may_fail && draw < fraction ? std::optional(outcome) : std::nullopt;
  };
  return scenario;
}

// Attempts for each request to the first tier, at the tier that got the most attempts.
struct MaxAttemptsPerRequest {
  double at_servers = 0;  // without attempts whose connection failed
  double with_connect_failures = 0;
};

MaxAttemptsPerRequest max_attempts_per_request(const CallChainCounts& counts) {
  int at_servers = 0;
  int with_connect_failures = 0;
  for (const CallChainTierCounts& tier : counts.tiers) {
    at_servers = std::max(at_servers, tier.attempts - tier.connect_failures);
    with_connect_failures = std::max(with_connect_failures, tier.attempts);
  }
  return {static_cast<double>(at_servers) / counts.requests,
          static_cast<double>(with_connect_failures) / counts.requests};
}

// The capacity calculator reads the words of this table, see docs/capacity-slopes.txt.
void print_table_head() {
  std::printf("| place | sort | part | allowance | served | attempts at the last tier | most at a tier |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
}

void print_table_row(FailingTiers failing, const FailureType& type, const FailureRate& rate, bool has_quota,
                     const CallChainCounts& counts) {
  std::printf("| %s | %s | %s | %s | %.3f | %.2f | %.2f |\n", kFailingTiersNames[static_cast<int>(failing)],
              type.name, rate.name, has_quota ? "told" : "untold",
              static_cast<double>(counts.succeeded) / counts.requests,
              counts.attempts_at_last_tier_per_request(),
              max_attempts_per_request(counts).with_connect_failures);
}

void expect_bounded_attempts(FailingTiers failing, const FailureType& type, const FailureRate& rate,
                             bool has_quota) {
  const CallChainScenario scenario = make_scenario(failing, type.outcome, rate.fraction, has_quota);
  const CallChainCounts counts = SimulatedCallChain(scenario).run();
  print_table_row(failing, type, rate, has_quota, counts);
  // Retries after a connect failure are free, and not among the counted retries, because a failed connection
  // causes no work for a server.
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    const int replicas = tier == 0 ? 1 : scenario.servers_per_tier;
    EXPECT_LE(counts.tiers[tier].retries, kRetryBudgetPerSuccess * counts.tiers[tier].successful_attempts +
                                              kInitialRetryBudget * replicas + 0.01)
        << type.name << ", " << rate.name << ", tier " << tier;
  }
  EXPECT_LE(max_attempts_per_request(counts).at_servers, rate.max_attempts)
      << type.name << ", " << rate.name << (has_quota ? ", with quota" : ", without quota");
  EXPECT_LE(max_attempts_per_request(counts).with_connect_failures,
            rate.max_attempts * kMaxConnectFailureFactor)
      << "connect failures included: " << type.name << ", " << rate.name;
}

void expect_bounded_attempts(FailingTiers failing, const std::vector<FailureRate>& rates) {
  print_table_head();
  for (const bool has_quota : {true, false}) {
    for (const FailureRate& rate : rates) {
      for (const FailureType& type : kFailureTypes) {
        // Without a quota only the rate limits differ, not the retry budgets: one type of failure is enough.
        if (!has_quota && type.outcome != Outcome::kServerError) continue;
        expect_bounded_attempts(failing, type, rate, has_quota);
      }
    }
  }
}

TEST(RetryDepth, AttemptsAreBoundedWhenEachTierFails) {
  expect_bounded_attempts(FailingTiers::kEach, {{0.1, "tenth", 1.25}, {0.5, "half", 1.1}, {1, "all", 1.1}});
}

// A retry budget that grew with the attempts sent instead of with successes would grow with the attempts of
// the tier above, to 1.2 to the power of the depth. Within the 8 s of a run, most of the attempts beyond one
// for each request come from the initial budgets.
TEST(RetryDepth, AttemptsAreBoundedWhenLastTierFails) {
  expect_bounded_attempts(FailingTiers::kLast, {{0.1, "tenth", 1.2}, {0.5, "half", 2.3}, {1, "all", 2.65}});
}

TEST(RetryDepth, AttemptsAreBoundedWhenMiddleTierFails) {
  expect_bounded_attempts(FailingTiers::kMiddle, {{0.1, "tenth", 1.2}, {0.5, "half", 2.3}, {1, "all", 2}});
}

}  // namespace
}  // namespace asterdrift::balancer
