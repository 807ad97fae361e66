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
// Rate of requests from each replica, and to each endpoint from all replicas.
constexpr double kRequestsPerSecond = 20;
constexpr Seconds kRunStartsAt = 100;
constexpr Seconds kRunDuration = 40;
constexpr Seconds kStartedAt = 109;   // start of the starting endpoint
constexpr Seconds kNotifiedAt = 110;  // when the replicas are notified of the start
constexpr double kSlowStartCapacity = 0.14;
constexpr Seconds kSlowStartDuration = 24;
constexpr double kOverloadMultiple = 3;
constexpr Seconds kOverloadWindow = 2;
constexpr Seconds kLatency = 0.1;

// Runs one replica, and adds the times of its attempts at the starting endpoint to `attempt_times`. The
// latency of that endpoint is `latency_factor` times that of the others.
void run_replica(TestReplica& replica, double latency_factor, std::vector<Seconds>& attempt_times) {
  replica.handle(kRunStartsAt, make_snapshot(kEndpoints));
  for (int i = 0; i < static_cast<int>(kRunDuration * kRequestsPerSecond); ++i) {
    const Seconds now = kRunStartsAt + i / kRequestsPerSecond;
    if (i == static_cast<int>((kNotifiedAt - kRunStartsAt) * kRequestsPerSecond)) {
      Endpoint restarted = make_endpoint(0);
      restarted.started_at = kStartedAt;
      replica.handle(now, make_update(restarted));
    }
    replica.now = now;
    const std::string id = std::to_string(i);
    Seconds latency = kLatency;
    for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(id))) {
      if (send.endpoint != "s0" || now < kNotifiedAt) continue;
      attempt_times.push_back(now);
      latency *= latency_factor;
    }
    replica.end_attempt(id, Outcome::kSuccess, 0, latency);
  }
}

// The times of all replicas' attempts at the starting endpoint.
std::vector<Seconds> attempts_at_starting_endpoint(double latency_factor) {
  Settings settings = basic_settings();
  settings.replica_count = kReplicas;
  settings.slow_start_capacity = kSlowStartCapacity;
  settings.slow_start_duration = kSlowStartDuration;
  std::vector<Seconds> attempt_times;
  for (int index = 0; index < kReplicas; ++index) {
    settings.replica_index = index;
    TestReplica replica(settings, static_cast<std::uint64_t>(index) + 1);
    run_replica(replica, latency_factor, attempt_times);
  }
  return attempt_times;
}

auto count_between(const std::vector<Seconds>& times, Seconds begin, Seconds end) {
  return std::count_if(times.begin(), times.end(), [=](Seconds time) { return time >= begin && time < end; });
}

TEST(SlowStart, BudgetOfStartingEndpointIsShared) {
  const std::vector<Seconds> attempt_times = attempts_at_starting_endpoint(1);
  const double warm_rate = kReplicas * kRequestsPerSecond / kEndpoints;
  for (int step = 0; step < 48; ++step) {
    const Seconds begin = kNotifiedAt + 0.5 * step;
    const double warm_up_gain = (1 - kSlowStartCapacity) * (begin - kStartedAt) / kSlowStartDuration;
    const double capacity = warm_rate * (kSlowStartCapacity + warm_up_gain);
    const auto in_window = count_between(attempt_times, begin, begin + kOverloadWindow);
    EXPECT_LE(static_cast<double>(in_window), kOverloadMultiple * capacity * kOverloadWindow)
        << "at " << begin;
  }
  EXPECT_GT(attempt_times.size(), 50U) << "without work a starting endpoint never warms up";
  // An endpoint that warms up by serving requests would stay slow if it were held to the load of a warm
  // endpoint.
  EXPECT_GE(count_between(attempt_times, kNotifiedAt, 118), 28);
}

// If many replicas each limited a starting endpoint to its guaranteed capacity and also weighted it by that
// capacity, the endpoint would stay idle next to congested ones. A starting endpoint gets more requests when
// it responds as fast as the other endpoints, and only then.
TEST(SlowStart, FastStartingEndpointGetsMoreRequestsThanSlowOne) {
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
