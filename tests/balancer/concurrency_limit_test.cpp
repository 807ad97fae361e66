// The concurrency limit: how many requests a replica may have in flight.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "support/balancer_fixture.h"
#include "support/linear_congruential_random.h"

namespace asterdrift::balancer {
namespace {

// Sends a request whose body is still arriving. Returns the address of the request's endpoint, which is empty
// if the request was rejected.
std::string send_request_with_arriving_body(TestReplica& replica, const std::string& id) {
  Request request;
  request.id = id;
  request.time_left = 6;
  request.body_arriving = true;
  const std::vector<SendAttempt> sent = actions_of_type<SendAttempt>(replica.handle(replica.now, request));
  return sent.empty() ? "" : sent[0].endpoint;
}

TEST(ConcurrencyLimit, RequestsToUnresponsiveEndpointsAreBounded) {
  TestReplica replica(settings_with_large_quota());
  replica.handle(0, make_snapshot(3));
  int sent = 0;
  int rejected = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now = i * 0.01;
    const auto actions = replica.request(std::to_string(i));
    sent += static_cast<int>(actions_of_type<SendAttempt>(actions).size());
    rejected += static_cast<int>(actions_of_type<RejectRequest>(actions).size());
  }
  EXPECT_EQ(sent + rejected, 300);
  EXPECT_GT(sent, 3);
  EXPECT_LT(sent, 40);
}

TEST(ConcurrencyLimit, RequestWithArrivingBodyIsNotCounted) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(4));
  int sent = 0;
  for (int i = 0; i < 500; ++i)
    sent += send_request_with_arriving_body(replica, std::to_string(i)).empty() ? 0 : 1;
  EXPECT_EQ(sent, 500) << "slow clients do not use up the limit";
  for (int i = 0; i < 500; ++i) replica.handle(1, RequestBodySent{std::to_string(i), 0});
  EXPECT_TRUE(actions_of_type<SendAttempt>(replica.request("next")).empty()) << "complete requests count";
  for (int i = 0; i < 500; ++i) replica.end_attempt(std::to_string(i), Outcome::kCancelled);
  EXPECT_FALSE(actions_of_type<SendAttempt>(replica.request("after")).empty());
}

TEST(ConcurrencyLimit, ReusedSlotDoesNotCountRequestsOfEarlierEndpoint) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(1));
  ASSERT_EQ(send_request_with_arriving_body(replica, "a"), "s0");
  EndpointUpdate replacement;
  replacement.endpoints = {make_endpoint(1)};
  replica.handle(0, replacement);
  replica.handle(1, RequestBodySent{"a", 0});
  replica.end_attempt("a", Outcome::kServerError);
  for (int i = 0; i < 3; ++i)
    EXPECT_FALSE(actions_of_type<SendAttempt>(replica.request("b" + std::to_string(i))).empty());
}

TEST(ConcurrencyLimit, StreamedResponseIsCountedUntilItsFirstByte) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(4));
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    replica.now += 0.05;
    ASSERT_FALSE(actions_of_type<SendAttempt>(replica.request(id)).empty()) << i;
    replica.handle(replica.now, ResponseStarted{id, 0, 0.1});
    if (i >= 100) replica.end_attempt(std::to_string(i - 100), Outcome::kSuccess, 0, 5);  // a long transfer
  }
  EXPECT_EQ(replica.balancer.endpoint_metrics(replica.now).unavailable, 0U);
}

// An initial limit that is small for one replica would overload the endpoints when all replicas start
// together.
TEST(ConcurrencyLimit, InitialLimitIsSplitAmongReplicas) {
  std::map<std::string, int> in_flight;  // requests in flight by endpoint
  for (int index = 0; index < 8; ++index) {
    Settings settings = settings_with_large_quota();
    settings.replica_index = index;
    settings.replica_count = 8;
    TestReplica replica(settings, static_cast<std::uint64_t>(index) + 1);
    replica.handle(0, make_snapshot(10));
    for (int i = 0; i < 100; ++i) {
      for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(std::to_string(i))))
        ++in_flight[send.endpoint];
    }
  }
  EXPECT_EQ(in_flight.size(), 10U);
  for (const auto& [address, requests] : in_flight) EXPECT_LE(requests, 16) << address;
}

// A rejection beyond the first tier wastes the work that earlier tiers have done for the request.
TEST(ConcurrencyLimit, RequestsAreNotRejectedBeyondFirstTier) {
  Settings settings = settings_with_large_quota();
  settings.tier = 1;
  TestReplica replica(settings);
  replica.handle(0, make_snapshot(3));
  for (int i = 0; i < 300; ++i)
    EXPECT_EQ(actions_of_type<SendAttempt>(replica.request(std::to_string(i))).size(), 1U);
}

// The traffic of one of many replicas.
struct ReplicaTraffic {
  int replicas;
  int endpoints;
  double requests_per_second;  // rate of requests of the one replica, at random times
  Seconds latency;             // every fourth response takes 2.5 times as long, the others half as long
  Seconds duration;
};

struct TrafficCounts {
  int admitted = 0;
  int rejected = 0;
};

class ReplicaSimulation {
 public:
  explicit ReplicaSimulation(const ReplicaTraffic& traffic)
      : traffic_(traffic), replica_(make_settings(traffic)) {
    replica_.handle(0, make_snapshot(traffic.endpoints));
  }

  TrafficCounts simulate() {
    Seconds now = 0;
    for (int number = 0; now < traffic_.duration; ++number) {
      const double uniform = (static_cast<double>(random_.next_state() >> 11) + 1) * 0x1.0p-53;
      now += -std::log(uniform) / traffic_.requests_per_second;
      end_due_attempts(now);
      replica_.now = now;
      const auto actions = replica_.request(std::to_string(number));
      counts_.admitted += static_cast<int>(actions_of_type<SendAttempt>(actions).size());
      counts_.rejected += static_cast<int>(actions_of_type<RejectRequest>(actions).size());
      send(actions, number, 0);
    }
    return counts_;
  }

 private:
  struct OpenAttempt {
    std::string request_id;
    int attempt;
    Seconds elapsed;
    Outcome outcome;
  };

  static Settings make_settings(const ReplicaTraffic& traffic) {
    Settings settings = basic_settings();
    settings.replica_count = traffic.replicas;
    settings.tenants = {{traffic.requests_per_second * traffic.replicas}};
    return settings;
  }

  void send(const std::vector<Action>& actions, int number, int attempt) {
    for (const SendAttempt& send : actions_of_type<SendAttempt>(actions)) {
      const Seconds latency = traffic_.latency * (number % 4 == 0 ? 2.5 : 0.5);
      const Seconds elapsed = std::min(latency, send.timeout);
      const Outcome outcome = latency >= send.timeout ? Outcome::kTimedOut : Outcome::kSuccess;
      open_attempts_.emplace(replica_.now + elapsed, OpenAttempt{send.id, attempt, elapsed, outcome});
    }
  }

  void end_due_attempts(Seconds now) {
    while (!open_attempts_.empty() && open_attempts_.begin()->first <= now) {
      replica_.now = open_attempts_.begin()->first;
      const OpenAttempt due = open_attempts_.begin()->second;
      open_attempts_.erase(open_attempts_.begin());
      const auto actions = replica_.end_attempt(due.request_id, due.outcome, due.attempt, due.elapsed);
      send(actions, std::stoi(due.request_id), due.attempt + 1);
    }
  }

  ReplicaTraffic traffic_;
  TestReplica replica_;
  LinearCongruentialRandom random_{7};
  std::multimap<Seconds, OpenAttempt> open_attempts_;  // open attempts by end time
  TrafficCounts counts_;
};

TrafficCounts simulate(const ReplicaTraffic& traffic) { return ReplicaSimulation(traffic).simulate(); }

// A replica with little traffic must not take two requests that are in flight at the same time for a queue.
TEST(ConcurrencyLimit, LowTrafficReplicaDoesNotRejectRandomBursts) {
  const TrafficCounts counts = simulate(
      {.replicas = 400, .endpoints = 60, .requests_per_second = 2.5, .latency = 0.3, .duration = 60});
  EXPECT_GT(counts.admitted, 120);
  EXPECT_LE(counts.rejected, counts.admitted / 50);
}

// If the limit of each of many replicas were about one request, no replica would ever reject, and an overload
// would never end.
TEST(ConcurrencyLimit, LowTrafficReplicaRejectsWhenResponsesAreTooSlow) {
  const TrafficCounts counts =
      simulate({.replicas = 400, .endpoints = 60, .requests_per_second = 2.5, .latency = 5, .duration = 60});
  EXPECT_GT(counts.rejected, 2 * counts.admitted);
}

// Each of many replicas has a share of less than one request in an endpoint's capacity. A limit in whole
// requests would make a replica with a few requests in flight reject the next request while endpoints are
// idle.
TEST(ConcurrencyLimit, ManyReplicasDoNotRejectWhileEndpointsAreIdle) {
  const TrafficCounts counts =
      simulate({.replicas = 48, .endpoints = 16, .requests_per_second = 12, .latency = 0.3, .duration = 60});
  EXPECT_GT(counts.admitted, 500);
  EXPECT_LE(counts.rejected, counts.admitted / 30);
}

// A replica with few requests learns the usual latency of its tier late, and must not reject requests until
// then.
TEST(ConcurrencyLimit, FirstRequestsAreServedBeforeUsualLatencyIsLearned) {
  for (const double rate : {6.0, 10.0}) {
    const TrafficCounts counts = simulate(
        {.replicas = 48, .endpoints = 16, .requests_per_second = rate, .latency = 0.7, .duration = 4});
    EXPECT_GT(counts.admitted, 20) << rate;
    EXPECT_LE(counts.rejected, 3) << rate;
  }
}

TEST(ConcurrencyLimit, ManyReplicasRejectWhenResponsesAreTooSlow) {
  const TrafficCounts counts =
      simulate({.replicas = 48, .endpoints = 16, .requests_per_second = 12, .latency = 5, .duration = 60});
  EXPECT_GT(counts.rejected, counts.admitted);
}

}  // namespace
}  // namespace asterdrift::balancer
