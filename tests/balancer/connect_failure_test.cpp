// Connections that do not come up in time: what the module makes of them.
#include <gtest/gtest.h>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

// Sends one request whose first attempts end so, until nothing more is sent; how many attempts there were.
int attempts(TestReplica& replica, const std::string& id, const std::vector<Outcome>& ends) {
  int sent = 0;
  auto actions = replica.request(id);
  while (!only<SendAttempt>(actions).empty()) {
    const auto at = static_cast<std::size_t>(sent);
    actions = replica.end_attempt(id, at < ends.size() ? ends[at] : Outcome::kSuccess, sent);
    ++sent;
  }
  return sent;
}

// Past tier 0, where neither a tenant's limit nor a server's room refuses these few calls.
TestReplica copy_with_servers() {
  Settings settings = basic_settings();
  settings.tier = 1;
  settings.tenants = {{1000.0}};
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(8));
  return replica;
}

// The budget for retries is a fifth of the calls; here every call needs another connection.
TEST(ConnectFailure, IsNotChargedToRetryBudget) {
  TestReplica replica = copy_with_servers();
  for (int i = 0; i < 60; ++i) {
    replica.now = 0.2 * i;
    EXPECT_EQ(attempts(replica, "d" + std::to_string(i), {Outcome::kConnectFailed}), 2) << i;
  }
}

// Each request in turn meets a failed dial and then an error: its dial is free, the repeat after it is not.
TEST(ConnectFailure, LaterErrorIsChargedToRetryBudget) {
  TestReplica replica = copy_with_servers();
  int repeats = 0;
  for (int i = 0; i < 60; ++i) {
    replica.now = 0.2 * i;
    const int sent =
        attempts(replica, "e" + std::to_string(i), {Outcome::kConnectFailed, Outcome::kServerError});
    EXPECT_GE(sent, 2) << i;
    repeats += sent - 2;
  }
  EXPECT_LE(repeats, 5 + 60 / 5);
  EXPECT_GE(repeats, 5);
}

// Where no connection comes up at all, the attempts allowed for one request are the bound.
TEST(ConnectFailure, RetriesEndAtMaxAttempts) {
  TestReplica replica = copy_with_servers();
  const std::vector<Outcome> never(10, Outcome::kConnectFailed);
  for (int i = 0; i < 20; ++i) {
    replica.now = 0.2 * i;
    EXPECT_EQ(attempts(replica, "n" + std::to_string(i), never), 4) << i;
  }
}

}  // namespace
}  // namespace asterdrift::balancer
