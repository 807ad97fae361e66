// Retries over depth: what a request to the first tier costs the last of many tiers when attempts fail. Every
// attempt and every budget is the real module's.
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
constexpr int kInitialRetryBudget = 5;     // retries of each replica
constexpr double kConnectAllowance = 1.1;  // connection attempts included, so many times the bound

enum class FailingTiers { kEach, kLast, kMiddle };
const char* const kFailingTiersNames[] = {"each tier", "last tier", "one tier"};

struct FailureKind {
  Outcome outcome;
  const char* name;
};
constexpr FailureKind kFailureKinds[] = {{Outcome::kServerError, "error"},
                                         {Outcome::kRejected, "refused"},
                                         {Outcome::kConnectionReset, "reset"},
                                         {Outcome::kTimedOut, "timed out"},
                                         {Outcome::kConnectFailed, "dial failed"}};

struct FailureRate {
  double fraction;  // of the attempts at a failing tier
  const char* name;
  double max_attempts;  // that reach a server of any tier for one request to the first tier
};

CallChainScenario scenario_of(FailingTiers failing, Outcome outcome, double fraction, bool has_quota) {
  CallChainScenario scenario;
  scenario.tiers = kTiers;
  scenario.request_rate = 30;
  scenario.duration = 8;
  scenario.settings = basic_settings();
  scenario.settings.max_attempts = 5;
  if (has_quota) scenario.settings.tenants = {{scenario.request_rate}};
  scenario.failure = [=](int tier, double, double chance) {
    const int failing_tier = failing == FailingTiers::kLast ? kTiers - 1 : kTiers / 2;
    const bool may_fail = failing == FailingTiers::kEach || tier == failing_tier;
    return may_fail && chance < fraction ? std::optional(outcome) : std::nullopt;
  };
  return scenario;
}

// Attempts at the tier that got the most, for one request to the first tier.
struct MaxAttempts {
  double at_servers = 0;  // without those whose connection failed
  double with_connect_failures = 0;
};

MaxAttempts max_attempts(const CallChainCounts& counts) {
  int at_servers = 0;
  int with_connect_failures = 0;
  for (const CallChainTierCounts& tier : counts.tiers) {
    at_servers = std::max(at_servers, tier.attempts - tier.connect_failures);
    with_connect_failures = std::max(with_connect_failures, tier.attempts);
  }
  return {static_cast<double>(at_servers) / counts.requests,
          static_cast<double>(with_connect_failures) / counts.requests};
}

// The words of this table are read by the capacity calculator, see docs/capacity-slopes.txt.
void print_table_head() {
  std::printf("| place | sort | part | allowance | served | attempts at the last tier | most at a tier |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
}

void print_table_row(FailingTiers failing, const FailureKind& kind, const FailureRate& rate, bool has_quota,
                     const CallChainCounts& counts) {
  std::printf("| %s | %s | %s | %s | %.3f | %.2f | %.2f |\n", kFailingTiersNames[static_cast<int>(failing)],
              kind.name, rate.name, has_quota ? "told" : "untold",
              static_cast<double>(counts.succeeded) / counts.requests,
              counts.attempts_at_last_tier_per_request(), max_attempts(counts).with_connect_failures);
}

void expect_bounded_attempts(FailingTiers failing, const FailureKind& kind, const FailureRate& rate,
                             bool has_quota) {
  const CallChainScenario scenario = scenario_of(failing, kind.outcome, rate.fraction, has_quota);
  const CallChainCounts counts = SimulatedCallChain(scenario).run();
  print_table_row(failing, kind, rate, has_quota, counts);
  // Retries after a connect failure are free: the connection attempt has brought no server any work.
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    const int replicas = tier == 0 ? 1 : scenario.servers_per_tier;
    EXPECT_LE(counts.tiers[tier].retries,
              kRetryBudgetPerSuccess * counts.tiers[tier].succeeded + kInitialRetryBudget * replicas + 0.01)
        << kind.name << ", " << rate.name << ", tier " << tier;
  }
  EXPECT_LE(max_attempts(counts).at_servers, rate.max_attempts)
      << kind.name << ", " << rate.name << (has_quota ? ", with quota" : ", without quota");
  EXPECT_LE(max_attempts(counts).with_connect_failures, rate.max_attempts * kConnectAllowance)
      << "connect failures included: " << kind.name << ", " << rate.name;
}

void expect_bounded_attempts(FailingTiers failing, const std::vector<FailureRate>& rates) {
  print_table_head();
  for (const bool has_quota : {true, false}) {
    for (const FailureRate& rate : rates) {
      for (const FailureKind& kind : kFailureKinds) {
        // Without a quota the rate limits differ, not the retry budgets: one kind of failure is enough.
        if (!has_quota && kind.outcome != Outcome::kServerError) continue;
        expect_bounded_attempts(failing, kind, rate, has_quota);
      }
    }
  }
}

TEST(Depth, AttemptsAreBoundedWhenEachTierFails) {
  expect_bounded_attempts(FailingTiers::kEach, {{0.1, "tenth", 1.25}, {0.5, "half", 1.1}, {1, "all", 1.1}});
}

// A budget that grew with the attempts sent, whatever becomes of them, would grow with the attempts of the
// tier above: 1.2 to the power of the depth. Over these 8 s most of what exceeds one is the initial budget.
TEST(Depth, AttemptsAreBoundedWhenLastTierFails) {
  expect_bounded_attempts(FailingTiers::kLast, {{0.1, "tenth", 1.2}, {0.5, "half", 2.3}, {1, "all", 2.65}});
}

TEST(Depth, AttemptsAreBoundedWhenMiddleTierFails) {
  expect_bounded_attempts(FailingTiers::kMiddle, {{0.1, "tenth", 1.2}, {0.5, "half", 2.3}, {1, "all", 2}});
}

}  // namespace
}  // namespace asterdrift::balancer
