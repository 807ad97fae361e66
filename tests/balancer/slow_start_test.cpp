// Slow start: endpoints that have just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

constexpr int kReplicas = 10;
constexpr int kEndpoints = 10;
constexpr double kRate = 20;         // requests/s of a replica, and of an endpoint over all replicas
constexpr double kBegin = 100;       // s
constexpr double kStartedAt = 109;   // s; of the starting endpoint
constexpr double kNotifiedAt = 110;  // s; when the replicas learn of it
constexpr double kDuration = 40;     // s
constexpr double kSlowStartCapacity = 0.14;
constexpr double kSlowStartDuration = 24;  // s
constexpr double kOverloadMultiple = 3;
constexpr double kOverloadWindow = 2;  // s
constexpr double kLatency = 0.1;       // s

// Adds the times of the attempts at the starting endpoint, which takes `latency_factor` times as long as
// others.
void run_replica(TestReplica& replica, double latency_factor, std::vector<double>& attempt_times) {
  replica.handle(kBegin, make_snapshot(kEndpoints));
  for (int i = 0; i < static_cast<int>(kDuration * kRate); ++i) {
    const double now = kBegin + i / kRate;
    if (i == static_cast<int>((kNotifiedAt - kBegin) * kRate)) {
      Endpoint restarted = make_endpoint(0);
      restarted.started_at = kStartedAt;
      replica.handle(now, make_update(restarted));
    }
    replica.now = now;
    const std::string id = std::to_string(i);
    double latency = kLatency;
    for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(id))) {
      if (send.endpoint != "s0" || now < kNotifiedAt) continue;
      attempt_times.push_back(now);
      latency *= latency_factor;
    }
    replica.end_attempt(id, Outcome::kSuccess, 0, latency);
  }
}

// The times of all replicas' attempts at the starting endpoint.
std::vector<double> attempts_at_starting_endpoint(double latency_factor) {
  Settings settings = basic_settings();
  settings.replica_count = kReplicas;
  settings.slow_start_capacity = kSlowStartCapacity;
  settings.slow_start_duration = kSlowStartDuration;
  std::vector<double> attempt_times;
  for (int index = 0; index < kReplicas; ++index) {
    settings.replica_index = index;
    TestReplica replica(settings, static_cast<std::uint64_t>(index) + 1);
    run_replica(replica, latency_factor, attempt_times);
  }
  return attempt_times;
}

auto count_between(const std::vector<double>& times, double begin, double end) {
  return std::count_if(times.begin(), times.end(), [=](double time) { return time >= begin && time < end; });
}

TEST(SlowStart, BudgetOfStartingEndpointIsShared) {
  const std::vector<double> attempt_times = attempts_at_starting_endpoint(1);
  const double warm_rate = kReplicas * kRate / kEndpoints;
  for (int step = 0; step < 48; ++step) {
    const double begin = kNotifiedAt + 0.5 * step;
    const double warmed = (1 - kSlowStartCapacity) * (begin - kStartedAt) / kSlowStartDuration;
    const double capacity = warm_rate * (kSlowStartCapacity + warmed);
    const auto in_window = count_between(attempt_times, begin, begin + kOverloadWindow);
    EXPECT_LE(static_cast<double>(in_window), kOverloadMultiple * capacity * kOverloadWindow)
        << "at " << begin;
  }
  EXPECT_GT(attempt_times.size(), 50U) << "without work a starting endpoint never warms up";
  // Held to the load of a warm one, an endpoint that warms up by its work would stay slow.
  EXPECT_GE(count_between(attempt_times, kNotifiedAt, 118), 28);
}

// Many replicas that each limit it to its guaranteed capacity, and also weigh it by that, would leave it idle
// next to crowded ones. It gets more once it responds as fast as they do, and only then.
TEST(SlowStart, FastStartingEndpointGetsMoreRequests) {
  const auto fast = count_between(attempts_at_starting_endpoint(1), 114, 120);
  const auto slow = count_between(attempts_at_starting_endpoint(3), 114, 120);
  EXPECT_GE(fast, 48);
  EXPECT_GE(slow, 10);
  EXPECT_GT(fast, 2 * slow);
}

TEST(SlowStart, RequestsAreServedWhileAllEndpointsStart) {
  Settings settings = basic_settings();
  settings.slow_start_capacity = 0.2;
  settings.slow_start_duration = 10;
  settings.tenants = {{100.0}};
  TestReplica replica(settings);
  EndpointUpdate snapshot = make_snapshot(4);
  for (Endpoint& endpoint : snapshot.endpoints) endpoint.started_at = 99.5;
  replica.handle(100, snapshot);
  int attempts = 0;
  for (int i = 0; i < 500; ++i) {
    replica.now = 100 + i * 0.01;
    const std::string id = std::to_string(i);
    attempts += static_cast<int>(actions_of_type<SendAttempt>(replica.request(id)).size());
    replica.end_attempt(id, Outcome::kSuccess);
  }
  EXPECT_GT(attempts, 50);
  EXPECT_LT(attempts, 400);
}

}  // namespace
}  // namespace asterdrift::balancer
