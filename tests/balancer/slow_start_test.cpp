// Slow start: endpoints that have just started.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

// Several replicas, one server that starts at 109, of which they hear at 110. Returns when it was sent to;
// its answers take so many times as long as those of the others.
constexpr int kReplicas = 10;
constexpr int kServers = 10;
constexpr double kRate = 20;  // a replica; a server's part is 20 a second over all replicas

std::vector<double> sends_to_cold(double times_as_long) {
  Settings s = basic_settings();
  s.replica_count = kReplicas;
  s.slow_start_capacity = 0.14;
  s.slow_start_duration = 24;
  std::vector<double> sends;
  for (int c = 0; c < kReplicas; ++c) {
    s.replica_index = c;
    TestReplica replica(s, static_cast<std::uint64_t>(c) + 1);
    replica.handle(100, make_snapshot(kServers));
    for (int i = 0; i < static_cast<int>(40 * kRate); ++i) {
      const double now = 100 + i / kRate;
      if (i == static_cast<int>(10 * kRate)) {
        EndpointUpdate restart;
        restart.form = EndpointUpdate::Form::kIncremental;
        restart.endpoints = {make_endpoint(0)};
        restart.endpoints[0].started_at = 109;
        replica.handle(now, restart);
      }
      replica.now = now;
      const std::string id = std::to_string(i);
      double took = 0.1;
      for (const SendAttempt& send : only<SendAttempt>(replica.request(id))) {
        if (send.endpoint != "s0" || now < 110) continue;
        sends.push_back(now);
        took *= times_as_long;
      }
      replica.end_attempt(id, Outcome::kSuccess, 0, took);
    }
  }
  return sends;
}

// Together they stay within what it can take.
TEST(SlowStart, BudgetOfStartingEndpointIsShared) {
  const std::vector<double> sends = sends_to_cold(1);
  const double share = kReplicas * kRate / kServers;
  for (int step = 0; step < 48; ++step) {
    const double t = 110 + 0.5 * step;
    const double able = share * (0.14 + 0.86 * (t - 109) / 24);
    const auto in_window =
        std::count_if(sends.begin(), sends.end(), [t](double at) { return at >= t && at < t + 2; });
    EXPECT_LE(static_cast<double>(in_window), 3 * able * 2) << "at " << t;
  }
  EXPECT_GT(sends.size(), 50U) << "a cold server must get some work, or it never warms";
  // Held to a warm one's load, a server that warms with its work stays cold while the rest is
  // crowded.
  const auto early = std::count_if(sends.begin(), sends.end(), [](double at) { return at < 118; });
  EXPECT_GE(early, 28);
}

// Many replicas that each hold it to its sure capacity, and count its warmth in the draw as well, leave
// a newcomer idle beside crowded servers. Once it answers as quickly as they do it gets more; slow, it does
// not.
TEST(SlowStart, FastStartingEndpointGetsMoreRequests) {
  const auto late = [](const std::vector<double>& sends) {
    return std::count_if(sends.begin(), sends.end(), [](double at) { return at >= 114 && at < 120; });
  };
  const auto quick = late(sends_to_cold(1));
  const auto slow = late(sends_to_cold(3));
  EXPECT_GE(quick, 48);
  EXPECT_GE(slow, 10);
  EXPECT_GT(quick, 2 * slow);
}

TEST(SlowStart, RequestsAreServedWhileAllEndpointsStart) {
  Settings s = basic_settings();
  s.slow_start_capacity = 0.2;
  s.slow_start_duration = 10;
  s.tenants = {{100.0}};
  TestReplica replica(s);
  EndpointUpdate m = make_snapshot(4);
  for (Endpoint& one : m.endpoints) one.started_at = 99.5;
  replica.handle(100, m);
  int sent = 0;
  for (int i = 0; i < 500; ++i) {
    replica.now = 100 + i * 0.01;
    const std::string id = std::to_string(i);
    sent += static_cast<int>(only<SendAttempt>(replica.request(id)).size());
    replica.end_attempt(id, Outcome::kSuccess);
  }
  EXPECT_GT(sent, 50);
  EXPECT_LT(sent, 400);
}
}  // namespace
}  // namespace asterdrift::balancer
