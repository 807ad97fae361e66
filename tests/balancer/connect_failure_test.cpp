// Connect failures: which retries are charged to the retry budget.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

// Sends a request whose first attempts end with `outcomes` and whose next attempt succeeds. Returns the
// number of attempts.
int count_attempts(TestReplica& replica, const std::string& id, const std::vector<Outcome>& outcomes) {
  int attempts = 0;
  auto actions = replica.request(id);
  while (!actions_of_type<SendAttempt>(actions).empty()) {
    const auto index = static_cast<std::size_t>(attempts);
    const Outcome outcome = index < outcomes.size() ? outcomes[index] : Outcome::kSuccess;
    actions = replica.end_attempt(id, outcome, attempts);
    ++attempts;
  }
  return attempts;
}

// A replica beyond the first tier. Neither a rate limit nor a concurrency limit rejects the few requests of
// a test there.
TestReplica replica_beyond_first_tier() {
  Settings settings = settings_with_large_quota();
  settings.tier = 1;
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(8));
  return replica;
}

// The retry budget allows retries of a fifth of the requests, but here every request needs a second
// connection attempt.
TEST(ConnectFailure, IsNotChargedToRetryBudget) {
  TestReplica replica = replica_beyond_first_tier();
  for (int i = 0; i < 60; ++i) {
    replica.now = 0.2 * i;
    EXPECT_EQ(count_attempts(replica, "d" + std::to_string(i), {Outcome::kConnectFailed}), 2) << i;
  }
}

// After a connect failure and an error, the first retry is free and the second one is not.
TEST(ConnectFailure, LaterErrorIsChargedToRetryBudget) {
  TestReplica replica = replica_beyond_first_tier();
  int charged_retries = 0;
  for (int i = 0; i < 60; ++i) {
    replica.now = 0.2 * i;
    const int attempts =
        count_attempts(replica, "e" + std::to_string(i), {Outcome::kConnectFailed, Outcome::kServerError});
    EXPECT_GE(attempts, 2) << i;
    charged_retries += attempts - 2;
  }
  EXPECT_LE(charged_retries, 5 + 60 / 5);
  EXPECT_GE(charged_retries, 5);
}

TEST(ConnectFailure, RetriesEndAtMaxAttempts) {
  TestReplica replica = replica_beyond_first_tier();
  const std::vector<Outcome> never_connected(10, Outcome::kConnectFailed);
  for (int i = 0; i < 20; ++i) {
    replica.now = 0.2 * i;
    EXPECT_EQ(count_attempts(replica, "n" + std::to_string(i), never_connected), 4) << i;
  }
}

}  // namespace
}  // namespace asterdrift::balancer
