// Outlier detection: endpoints that fail, are slow or do not respond.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

constexpr double kRequestsPerSecond = 50;

// Sends requests for `duration`. Attempts at the endpoint `faulty` end with an error, the others succeed.
// Returns the number of first attempts by endpoint.
std::map<std::string, int> count_first_attempts(TestReplica& replica, const std::string& faulty,
                                                Seconds start, Seconds duration,
                                                const std::string& id_prefix) {
  std::map<std::string, int> first_attempts;
  for (int i = 0; i < static_cast<int>(duration * kRequestsPerSecond); ++i) {
    replica.now = start + i / kRequestsPerSecond;
    const std::string id = id_prefix + std::to_string(i);
    auto sent = actions_of_type<SendAttempt>(replica.request(id));
    if (!sent.empty()) ++first_attempts[sent[0].endpoint];
    for (int attempt = 0; !sent.empty(); ++attempt) {
      const Outcome outcome = sent[0].endpoint == faulty ? Outcome::kServerError : Outcome::kSuccess;
      sent = actions_of_type<SendAttempt>(replica.end_attempt(id, outcome, attempt));
    }
  }
  return first_attempts;
}

// An endpoint that fails at once has no requests in flight and would be preferred as the least busy one.
TEST(OutlierDetection, FastFailingEndpointIsEjectedAndReadmitted) {
  TestReplica replica(settings_with_large_quota());
  replica.handle(0, make_snapshot(6));
  const auto while_failing = count_first_attempts(replica, "s2", 0, 10, "a");
  EXPECT_LT(while_failing.at("s2"), 25);
  const auto after_recovery = count_first_attempts(replica, "", 10, 30, "b");
  EXPECT_GT(after_recovery.at("s2"), 100);
}

// An endpoint that its load has slowed down would stay overloaded if it kept getting an equal share of the
// requests.
TEST(OutlierDetection, SlowEndpointGetsFewerRequests) {
  TestReplica replica(settings_with_large_quota());
  replica.handle(0, make_snapshot(4));
  std::map<std::string, int> attempts;
  for (int i = 0; i < 400; ++i) {
    replica.now = i * 0.5;
    const std::string id = std::to_string(i);
    const auto sent = actions_of_type<SendAttempt>(replica.request(id));
    if (sent.empty()) continue;
    ++attempts[sent[0].endpoint];
    replica.end_attempt(id, Outcome::kSuccess, 0, sent[0].endpoint == "s1" ? 0.4 : 0.1);
  }
  EXPECT_GT(attempts["s0"], 80);
  EXPECT_LT(attempts["s1"], 50);
  EXPECT_GT(attempts["s1"], 3) << "without an occasional request a slow endpoint never recovers";
}

// Attempts of a request that is not idempotent end only with the client's timeout, so an unresponsive
// endpoint has to be avoided while its attempts are still open.
TEST(OutlierDetection, UnresponsiveEndpointIsAvoidedBeforeItsAttemptsEnd) {
  TestReplica replica(basic_settings(make_request_class(Idempotency::kNotIdempotent)));
  replica.handle(0, make_snapshot(4));
  int unanswered = 0;
  for (int i = 0; i < 160; ++i) {
    replica.now = i * 0.25;
    const std::string id = std::to_string(i);
    const auto sent = actions_of_type<SendAttempt>(replica.request(id));
    if (sent.empty()) continue;
    if (sent[0].endpoint == "s1" && i >= 80) {
      ++unanswered;
    } else {
      replica.end_attempt(id, Outcome::kSuccess, 0, 0.1);
    }
  }
  EXPECT_LE(unanswered, 4);
}

// When all endpoints fail for a shared reason, ejecting each of them would leave no endpoint to send requests
// to.
TEST(OutlierDetection, RequestsAreSentWhenAllEndpointsFail) {
  TestReplica replica(settings_with_large_quota());
  replica.handle(0, make_snapshot(4));
  int first_attempts = 0;
  for (int i = 0; i < 200; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sent = actions_of_type<SendAttempt>(replica.request(id));
    first_attempts += static_cast<int>(sent.size());
    for (int attempt = 0; !sent.empty(); ++attempt)
      sent = actions_of_type<SendAttempt>(replica.end_attempt(id, Outcome::kServerError, attempt));
  }
  EXPECT_EQ(first_attempts, 200);
}

TEST(OutlierDetection, ViewCountsUnavailableEndpoints) {
  TestReplica replica(basic_settings());
  EndpointUpdate snapshot = make_snapshot(5);
  snapshot.endpoints[4].state = EndpointState::kDraining;
  replica.handle(0, snapshot);
  EXPECT_EQ(replica.balancer.endpoint_metrics(0).listed, 5U);
  EXPECT_EQ(replica.balancer.endpoint_metrics(0).unavailable, 1U) << "the draining endpoint";
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    replica.now += 0.02;
    const std::vector<SendAttempt> sent = actions_of_type<SendAttempt>(replica.request(id));
    ASSERT_FALSE(sent.empty());
    const Outcome outcome = sent[0].endpoint == "s2" ? Outcome::kServerError : Outcome::kSuccess;
    const std::vector<SendAttempt> retry = actions_of_type<SendAttempt>(replica.end_attempt(id, outcome));
    if (!retry.empty()) replica.end_attempt(id, Outcome::kSuccess, 1);
  }
  EXPECT_EQ(replica.balancer.endpoint_metrics(replica.now).unavailable, 2U)
      << "the draining and the failing endpoint";
  EXPECT_EQ(replica.balancer.endpoint_metrics(replica.now + 60).unavailable, 1U)
      << "the failing endpoint is readmitted";
  replica.handle(replica.now, make_update(make_endpoint(4), EndpointState::kRemoved));
  EXPECT_EQ(replica.balancer.endpoint_metrics(replica.now).listed, 4U);
}

}  // namespace
}  // namespace asterdrift::balancer
