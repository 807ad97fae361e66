// Outlier detection: endpoints that fail, are slow or silent.
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

// Plays calls of which those to `sick` end with `outcome`; counts the first sends to each server.
std::map<std::string, int> play(TestReplica& replica, const std::string& sick, Outcome outcome, double from,
                                double seconds, double rate, const std::string& prefix) {
  std::map<std::string, int> firsts;
  for (int i = 0; i < static_cast<int>(seconds * rate); ++i) {
    replica.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    auto sends = only<SendAttempt>(replica.request(id));
    if (!sends.empty()) ++firsts[sends[0].endpoint];
    for (int attempt = 0; !sends.empty(); ++attempt) {
      sends = only<SendAttempt>(
          replica.end_attempt(id, sends[0].endpoint == sick ? outcome : Outcome::kSuccess, attempt));
    }
  }
  return firsts;
}

// A replica of many, with its part of the fleet's calls. They come at uneven times, answered late or never.
struct FleetDay {
  int sent = 0;
  int refused = 0;
};

// A server that fails at once has nothing in flight and looks the least busy of all.
TEST(OutlierDetection, FastFailingEndpointIsEjectedAndReadmitted) {
  TestReplica replica(roomy_settings());
  replica.handle(0, make_snapshot(6));
  const auto ill = play(replica, "s2", Outcome::kServerError, 0, 10, 50, "a");
  EXPECT_LT(ill.at("s2"), 25);
  const auto back = play(replica, "", Outcome::kSuccess, 10, 30, 50, "b");
  EXPECT_GT(back.at("s2"), 100);
}

// A server that crowding has slowed keeps its share, and stays crowded.
TEST(OutlierDetection, SlowEndpointGetsFewerRequests) {
  TestReplica replica(roomy_settings());
  replica.handle(0, make_snapshot(4));
  std::map<std::string, int> used;
  for (int i = 0; i < 400; ++i) {
    replica.now = i * 0.5;
    const std::string id = std::to_string(i);
    const auto sends = only<SendAttempt>(replica.request(id));
    if (sends.empty()) continue;
    ++used[sends[0].endpoint];
    replica.end_attempt(id, Outcome::kSuccess, 0, sends[0].endpoint == "s1" ? 0.4 : 0.1);
  }
  EXPECT_GT(used["s0"], 80);
  EXPECT_LT(used["s1"], 50);
  EXPECT_GT(used["s1"], 3) << "it must be tried now and then, or it never comes back";
}

// A silent server was judged only when its calls ended, for unsafe classes at the end of their time.
TEST(OutlierDetection, UnresponsiveEndpointIsAvoidedBeforeItsAttemptsEnd) {
  TestReplica replica(basic_settings(make_request_class(Idempotency::kNotIdempotent)));
  replica.handle(0, make_snapshot(4));
  int silent = 0;
  for (int i = 0; i < 160; ++i) {
    replica.now = i * 0.25;
    const std::string id = std::to_string(i);
    const auto sends = only<SendAttempt>(replica.request(id));
    if (sends.empty()) continue;
    const bool is_silent = sends[0].endpoint == "s1" && i >= 80;
    if (is_silent) {
      ++silent;
    } else {
      replica.end_attempt(id, Outcome::kSuccess, 0, 0.1);
    }
  }
  EXPECT_LE(silent, 4);
}

// Judging each server alone would leave nobody to send to when the cause is shared.
TEST(OutlierDetection, RequestsAreSentWhenAllEndpointsFail) {
  TestReplica replica(roomy_settings());
  replica.handle(0, make_snapshot(4));
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = only<SendAttempt>(replica.request(id));
    sent += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt)
      sends = only<SendAttempt>(replica.end_attempt(id, Outcome::kServerError, attempt));
  }
  EXPECT_EQ(sent, 200);
}

TEST(OutlierDetection, ViewCountsUnavailableEndpoints) {
  TestReplica replica(basic_settings());
  EndpointUpdate list = make_snapshot(5);
  list.endpoints[4].state = EndpointState::kDraining;
  replica.handle(0, list);
  EXPECT_EQ(replica.balancer.endpoints(0).listed, 5U);
  EXPECT_EQ(replica.balancer.endpoints(0).unavailable, 1U) << "the one that drains";
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    replica.now += 0.02;
    const std::vector<SendAttempt> sent = only<SendAttempt>(replica.request(id));
    ASSERT_FALSE(sent.empty());
    const std::vector<SendAttempt> again = only<SendAttempt>(
        replica.end_attempt(id, sent[0].endpoint == "s2" ? Outcome::kServerError : Outcome::kSuccess));
    if (!again.empty()) replica.end_attempt(id, Outcome::kSuccess, 1);
  }
  EXPECT_EQ(replica.balancer.endpoints(replica.now).unavailable, 2U) << "and the one that fails";
  EXPECT_EQ(replica.balancer.endpoints(replica.now + 60).unavailable, 1U) << "which is tried again some day";
  EndpointUpdate gone;
  gone.form = EndpointUpdate::Form::kIncremental;
  gone.endpoints = {make_endpoint(4)};
  gone.endpoints[0].state = EndpointState::kRemoved;
  replica.handle(replica.now, gone);
  EXPECT_EQ(replica.balancer.endpoints(replica.now).listed, 4U);
}
}  // namespace
}  // namespace asterdrift::balancer
