// Concurrency limit: how many requests are in flight.
#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

// An quota that no test here reaches: admission stays out of the way.
Settings roomy_settings() {
  Settings s = basic_settings();
  s.tenants = {{1000.0}};
  return s;
}

// What each of many replicas takes for a small start is a crowd when all of them start together.
// A call whose body is still coming, and the server it went to; empty where it was refused.
std::string arriving(TestReplica& replica, const std::string& id) {
  Request r;
  r.id = id;
  r.time_left = 6;
  r.body_arriving = true;
  const std::vector<SendAttempt> sent = only<SendAttempt>(replica.handle(replica.now, r));
  return sent.empty() ? "" : sent[0].endpoint;
}

// A replica of many, with its part of the fleet's calls. They come at uneven times, answered late or never.
struct FleetDay {
  int sent = 0;
  int refused = 0;
};

FleetDay fleet_day(int replicas, int servers, double rate, double answer_time, double seconds) {
  Settings s = basic_settings();
  s.replica_count = replicas;
  s.tenants = {{rate * replicas}};
  TestReplica replica(s);
  replica.handle(0, make_snapshot(servers));
  FleetDay day;
  struct End {
    std::string id;
    int attempt;
    double took;
    Outcome outcome;
  };
  std::multimap<double, End> due;
  std::uint64_t draw = 7;
  const auto sends = [&](const std::vector<Action>& actions, int number, int attempt) {
    for (const SendAttempt& send : only<SendAttempt>(actions)) {
      const double took = answer_time * (number % 4 == 0 ? 2.5 : 0.5);  // one in four is a long one
      const bool late = took >= send.timeout;
      const double ends = std::min(took, send.timeout);
      due.emplace(replica.now + ends,
                  End{send.id, attempt, ends, late ? Outcome::kTimedOut : Outcome::kSuccess});
    }
    return static_cast<int>(only<SendAttempt>(actions).size());
  };
  double now = 0;
  for (int i = 0; now < seconds; ++i) {
    draw = draw * 6364136223846793005ULL + 1442695040888963407ULL;
    now += -std::log((static_cast<double>(draw >> 11) + 1) * 0x1.0p-53) / rate;
    while (!due.empty() && due.begin()->first <= now) {
      replica.now = due.begin()->first;
      const End end = due.begin()->second;
      due.erase(due.begin());
      sends(replica.end_attempt(end.id, end.outcome, end.attempt, end.took), std::stoi(end.id),
            end.attempt + 1);
    }
    replica.now = now;
    const auto actions = replica.request(std::to_string(i));
    day.refused += static_cast<int>(only<RejectRequest>(actions).size());
    day.sent += sends(actions, i, 0);
  }
  return day;
}

// Calls to a server that has stopped answering wait for nothing, and behind each other.
TEST(ConcurrencyLimit, RequestsToUnresponsiveEndpointsAreBounded) {
  TestReplica replica(roomy_settings());
  replica.handle(0, make_snapshot(3));
  int sent = 0;
  int refused = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now = i * 0.01;
    const auto actions = replica.request(std::to_string(i));
    sent += static_cast<int>(only<SendAttempt>(actions).size());
    refused += static_cast<int>(only<RejectRequest>(actions).size());
  }
  EXPECT_EQ(sent + refused, 300);
  EXPECT_GT(sent, 3);
  EXPECT_LT(sent, 40);
}

TEST(ConcurrencyLimit, RequestWithArrivingBodyIsNotCounted) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(4));
  int sent = 0;
  for (int i = 0; i < 500; ++i) sent += arriving(replica, std::to_string(i)).empty() ? 0 : 1;
  EXPECT_EQ(sent, 500) << "slow clients shut nobody out";
  for (int i = 0; i < 500; ++i) replica.handle(1, RequestBodySent{std::to_string(i), 0});
  EXPECT_TRUE(only<SendAttempt>(replica.request("next")).empty()) << "from there on the servers have them";
  for (int i = 0; i < 500; ++i) replica.end_attempt(std::to_string(i), Outcome::kCancelled);
  EXPECT_FALSE(only<SendAttempt>(replica.request("after")).empty());
}

TEST(ConcurrencyLimit, ReusedSlotIsNotChargedForEarlierEndpoint) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(1));
  ASSERT_EQ(arriving(replica, "a"), "s0");
  EndpointUpdate next;
  next.endpoints = {make_endpoint(1)};
  replica.handle(0, next);
  replica.handle(1, RequestBodySent{"a", 0});
  replica.end_attempt("a", Outcome::kServerError);
  for (int i = 0; i < 3; ++i)
    EXPECT_FALSE(only<SendAttempt>(replica.request("b" + std::to_string(i))).empty());
}

TEST(ConcurrencyLimit, StreamedResponseCountsFromItsFirstByte) {
  TestReplica replica(basic_settings());
  replica.handle(0, make_snapshot(4));
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    replica.now += 0.05;
    ASSERT_FALSE(only<SendAttempt>(replica.request(id)).empty()) << i;
    replica.handle(replica.now, ResponseStarted{id, 0, 0.1});
    if (i >= 100)
      replica.end_attempt(std::to_string(i - 100), Outcome::kSuccess, 0, 5);  // it took long to pass
  }
  EXPECT_EQ(replica.balancer.endpoints(replica.now).unavailable, 0U);
}

TEST(ConcurrencyLimit, InitialLimitIsSplitAmongReplicas) {
  std::map<std::string, int> held;
  for (int index = 0; index < 8; ++index) {
    Settings s = roomy_settings();
    s.replica_index = index;
    s.replica_count = 8;
    TestReplica replica(s, static_cast<std::uint64_t>(index) + 1);
    replica.handle(0, make_snapshot(10));
    for (int i = 0; i < 100; ++i) {
      for (const SendAttempt& send : only<SendAttempt>(replica.request(std::to_string(i))))
        ++held[send.endpoint];
    }
  }
  EXPECT_EQ(held.size(), 10U);
  for (const auto& [address, calls] : held) EXPECT_LE(calls, 16) << address;
}

// A refusal past the first tier throws away the work that was done above it.
TEST(ConcurrencyLimit, RejectsNothingBeyondFirstTier) {
  Settings s = roomy_settings();
  s.tier = 1;
  TestReplica replica(s);
  replica.handle(0, make_snapshot(3));
  for (int i = 0; i < 300; ++i) EXPECT_EQ(only<SendAttempt>(replica.request(std::to_string(i))).size(), 1U);
}

// A sparse replica took two calls out at once for a queue and refused a tenth of a calm day.
TEST(ConcurrencyLimit, LowTrafficReplicaDoesNotRejectRandomBursts) {
  const FleetDay calm = fleet_day(400, 60, 2.5, 0.3, 60);
  EXPECT_GT(calm.sent, 120);
  EXPECT_LE(calm.refused, calm.sent / 50);
}

// With bounds of a call or so, none of many sparse replicas ever holds back and a jam never runs off.
TEST(ConcurrencyLimit, LowTrafficReplicaRejectsWhenResponsesAreTooSlow) {
  const FleetDay jammed = fleet_day(400, 60, 2.5, 5, 60);
  EXPECT_GT(jammed.refused, 2 * jammed.sent);
}

// A server's room is less than one call at each of many replicas. Counted in whole calls it shut most
// servers to most replicas, and a replica with a few calls out refused the next before servers that stood
// idle.
TEST(ConcurrencyLimit, ManyReplicasDoNotExhaustEachOthersCapacity) {
  const FleetDay calm = fleet_day(48, 16, 12, 0.3, 60);
  EXPECT_GT(calm.sent, 500);
  EXPECT_LE(calm.refused, calm.sent / 30);
}

// With few calls a replica learns its tier's usual answer time late, and what was assumed instead had
// each of many replicas refuse calls from the first second on where an idle tier is slower.
TEST(ConcurrencyLimit, StartIsServedBeforeUsualLatencyIsLearned) {
  for (const double rate : {6.0, 10.0}) {
    const FleetDay start = fleet_day(48, 16, rate, 0.7, 4);
    EXPECT_GT(start.sent, 20) << rate;
    EXPECT_LE(start.refused, 3) << rate;
  }
}

// And the room of all servers together is a limit all the same.
TEST(ConcurrencyLimit, ManyReplicasRejectWhenResponsesAreTooSlow) {
  const FleetDay jammed = fleet_day(48, 16, 12, 5, 60);
  EXPECT_GT(jammed.refused, jammed.sent);
}
}  // namespace
}  // namespace asterdrift::balancer
