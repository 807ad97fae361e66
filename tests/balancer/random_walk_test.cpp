// Checks invariants of the module under random valid sequences of events with fixed seeds: restarts of
// replicas and servers, drains, incremental, empty and complete endpoint lists, failed watches, clients that
// leave early, and late and repeated outcomes.
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/balancer_fixture.h"
#include "support/linear_congruential_random.h"

namespace asterdrift::balancer {
namespace {

constexpr Seconds kMaxResponseDelay = 0.15;  // after the deadline; steps of the walk are up to 0.12 s apart
constexpr std::size_t kEndpoints = 14;

// Sends random events to one replica and checks each of its actions.
class RandomWalk {
 public:
  RandomWalk(std::uint64_t seed, IdempotencyPolicy policy, bool requires_watch)
      : random_(seed), policy_(policy) {
    settings_ = basic_settings(make_request_class(policy.idempotency, policy.dedup_scope));
    settings_.classes[0].dedup_window = 0.8;
    settings_.classes[0].late_priority_weight = seed % 2 == 0 ? 0.3 : 0;
    settings_.replica_count = 1 + static_cast<int>(random_.below(300));
    settings_.tier = static_cast<int>(random_.below(2));
    settings_.tenants = {{40.0}, {0.0}, {}};
    settings_.requires_watch = requires_watch;
    settings_.poll_within = 10;
    settings_.slow_start_capacity = 0.2;
    settings_.slow_start_duration = 8;
    settings_.cross_zone_cost = seed % 3 == 0 ? 0.02 : 0;
    restart_replica();
  }

  void run_step() {
    now_ += 0.001 * static_cast<double>(random_.below(120));
    end_overdue_attempts();
    const std::size_t draw = random_.below(100);
    if (draw < 45) {
      send_request();
    } else if (draw < 85) {
      end_random_attempt();
    } else if (draw < 93) {
      update_endpoints();
    } else if (draw < 98) {
      abort_random_request();
    } else if (random_.below(12) == 0) {
      restart_replica();
    }
  }

  int attempts() const { return attempts_; }
  int final_responses() const { return final_responses_; }

 private:
  struct SentAttempt {
    std::string endpoint;
    Seconds sent_at = 0;
    Seconds timeout = 0;
    bool open = true;
    bool may_have_run = true;
  };
  struct PendingRequest {
    Seconds deadline = 0;
    bool finished = false;
    std::vector<SentAttempt> attempts;

    bool has_open_attempt() const {
      return std::any_of(attempts.begin(), attempts.end(),
                         [](const SentAttempt& attempt) { return attempt.open; });
    }
    bool may_have_run() const {
      return std::any_of(attempts.begin(), attempts.end(),
                         [](const SentAttempt& attempt) { return attempt.may_have_run; });
    }
  };

  void restart_replica() {
    replica_.emplace(settings_, random_.next());
    requests_.clear();
    listed_.clear();
    handle(ReplicaStarted{});
    update_endpoints();
  }

  void handle(const Event& event) {
    for (const Action& action : replica_->handle(now_, event)) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) check_attempt(*send);
      if (const auto* reject = std::get_if<RejectRequest>(&action)) check_final_response(reject->id, true);
      if (const auto* fail = std::get_if<FailRequest>(&action)) check_final_response(fail->id, false);
      if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        ASSERT_LT(static_cast<std::size_t>(cancel->attempt), requests_.at(cancel->id).attempts.size());
      }
    }
  }

  void check_attempt(const SendAttempt& send) {
    ++attempts_;
    ASSERT_TRUE(requests_.contains(send.id));
    PendingRequest& request = requests_.at(send.id);
    EXPECT_FALSE(request.finished) << "an attempt is sent for a finished request";
    ASSERT_TRUE(listed_.contains(send.endpoint));
    const Endpoint& endpoint = listed_.at(send.endpoint);
    EXPECT_EQ(endpoint.state, EndpointState::kReady)
        << "an attempt is sent to a draining or removed endpoint";
    EXPECT_GT(send.timeout, 0);
    EXPECT_LE(now_ + send.timeout, request.deadline + 1e-9);
    EXPECT_LT(request.attempts.size(), static_cast<std::size_t>(settings_.max_attempts));
    for (const SentAttempt& earlier : request.attempts) check_retry(earlier, endpoint);
    request.attempts.push_back({send.endpoint, now_, send.timeout, true, true});
  }

  void check_retry(const SentAttempt& earlier, const Endpoint& endpoint) {
    EXPECT_FALSE(earlier.open) << "two attempts of a request are open at the same time";
    if (!earlier.may_have_run || policy_.idempotency == Idempotency::kIdempotent) return;
    EXPECT_NE(policy_.idempotency, Idempotency::kNotIdempotent)
        << "a request that is not idempotent is retried though it may have run";
    EXPECT_LE(now_, earlier.sent_at + settings_.classes[0].dedup_window);
    const Endpoint& earlier_endpoint = ever_listed_.at(earlier.endpoint);
    if (policy_.dedup_scope == DedupScope::kZone) {
      EXPECT_EQ(earlier_endpoint.zone, endpoint.zone);
    }
    if (policy_.dedup_scope == DedupScope::kCell) {
      EXPECT_EQ(earlier_endpoint.cell, endpoint.cell);
    }
  }

  void check_final_response(const std::string& id, bool rejected) {
    ++final_responses_;
    ASSERT_TRUE(requests_.contains(id));
    PendingRequest& request = requests_.at(id);
    EXPECT_FALSE(request.finished) << "a request gets a second final response";
    request.finished = true;
    if (!rejected || !request.may_have_run() || policy_.idempotency == Idempotency::kIdempotent) return;
    EXPECT_TRUE(policy_.idempotency == Idempotency::kIdempotencyKey &&
                policy_.dedup_scope == DedupScope::kAll)
        << "a request is rejected though it may have run";
  }

  void send_request() {
    Request request;
    request.id = "r" + std::to_string(++last_request_number_);
    request.tenant = random_.below(4);
    const Seconds times_left[] = {6, 2, 0.05, 0, -1};
    request.time_left = times_left[random_.below(20) == 0 ? random_.below(5) : random_.below(2)];
    requests_[request.id].deadline = now_ + request.time_left;
    handle(request);
    const PendingRequest& pending = requests_.at(request.id);
    EXPECT_TRUE(pending.finished || !pending.attempts.empty())
        << "a request has neither an attempt nor a final response";
    if (!pending.finished && random_.below(30) == 0) {
      EXPECT_TRUE(replica_->handle(now_, request).empty()) << "a repeated request id causes actions";
    }
  }

  void end_attempt(const std::string& id, std::size_t number, Outcome outcome) {
    PendingRequest& request = requests_.at(id);
    SentAttempt& attempt = request.attempts[number];
    attempt.open = false;
    attempt.may_have_run =
        outcome != Outcome::kRejected && outcome != Outcome::kConnectFailed && outcome != Outcome::kNotSent;
    request.finished = request.finished || outcome == Outcome::kSuccess;
    const AttemptResult result{id, static_cast<int>(number), outcome, now_ - attempt.sent_at,
                               request.finished};
    handle(result);
    const PendingRequest& after = requests_.at(id);
    EXPECT_TRUE(after.finished || after.has_open_attempt())
        << "a request has neither an open attempt nor a final response";
    if (random_.below(20) == 0) {
      EXPECT_TRUE(replica_->handle(now_, result).empty()) << "a repeated outcome causes actions";
    }
  }

  void end_random_attempt() {
    if (requests_.empty()) return;
    auto entry = requests_.begin();
    std::advance(entry, static_cast<std::ptrdiff_t>(random_.below(requests_.size())));
    const auto& [id, request] = *entry;
    const auto open = std::find_if(request.attempts.begin(), request.attempts.end(),
                                   [](const SentAttempt& attempt) { return attempt.open; });
    if (open != request.attempts.end()) {
      const std::size_t draw = random_.below(16);
      const auto number = static_cast<std::size_t>(open - request.attempts.begin());
      end_attempt(id, number, draw < 9 ? static_cast<Outcome>(draw) : Outcome::kSuccess);
    } else if (request.finished) {
      requests_.erase(entry);
    }
  }

  // Ends attempts at their timeouts, so that none is open after the deadline of its request, and checks that
  // no request is without a response after its deadline.
  void end_overdue_attempts() {
    std::vector<std::pair<std::string, std::size_t>> overdue;
    for (const auto& [id, request] : requests_) {
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        const SentAttempt& attempt = request.attempts[i];
        if (attempt.open && attempt.sent_at + attempt.timeout <= now_) overdue.emplace_back(id, i);
      }
    }
    const Seconds step_time = now_;
    for (const auto& [id, number] : overdue) {
      const SentAttempt& attempt = requests_.at(id).attempts[number];
      now_ = std::max(replica_->now, attempt.sent_at + attempt.timeout);
      end_attempt(id, number, Outcome::kTimedOut);
    }
    now_ = step_time;
    for (const auto& [id, request] : requests_)
      EXPECT_TRUE(request.finished || request.deadline + kMaxResponseDelay >= now_) << id << " is overdue";
  }

  void abort_random_request() {
    const std::string id = "r" + std::to_string(1 + random_.below(last_request_number_ + 1));
    const auto request = requests_.find(id);
    if (request != requests_.end()) request->second.finished = true;
    handle(RequestAborted{id});
  }

  Endpoint random_endpoint() {
    const int number = static_cast<int>(random_.below(kEndpoints));
    Endpoint endpoint = make_endpoint(number, number % 2, number / 3);
    endpoint.weight = random_.below(10) == 0 ? 0 : 0.5 + static_cast<double>(random_.below(4));
    endpoint.started_at = random_.below(3) == 0 ? now_ - 0.1 : 0;
    const std::size_t state = random_.below(10);
    endpoint.state = state == 0   ? EndpointState::kDraining
                     : state == 1 ? EndpointState::kRemoved
                                  : EndpointState::kReady;
    return endpoint;
  }

  void update_endpoints() {
    EndpointUpdate update;
    const std::size_t form = random_.below(12);
    update.form = form == 0  ? EndpointUpdate::Form::kWatchFailed
                  : form < 4 ? EndpointUpdate::Form::kSnapshot
                             : EndpointUpdate::Form::kIncremental;
    const bool empty = form == 0 || random_.below(25) == 0;
    const std::size_t count = empty ? 0 : 1 + random_.below(form < 4 ? kEndpoints : 3);
    for (std::size_t i = 0; i < count; ++i) update.endpoints.push_back(random_endpoint());
    if (update.form == EndpointUpdate::Form::kSnapshot) {
      for (auto& [address, endpoint] : listed_) endpoint.state = EndpointState::kRemoved;
    }
    for (const Endpoint& endpoint : update.endpoints) {
      listed_[endpoint.address] = endpoint;
      ever_listed_[endpoint.address] = endpoint;
    }
    handle(update);
  }

  LinearCongruentialRandom random_;
  IdempotencyPolicy policy_;
  Settings settings_;
  std::optional<TestReplica> replica_;
  Seconds now_ = 1000;
  std::size_t last_request_number_ = 0;
  std::map<std::string, PendingRequest> requests_;
  // Endpoints that the current replica has been notified of, by address.
  std::map<std::string, Endpoint> listed_;
  // Endpoints that any replica has been notified of, by address.
  std::map<std::string, Endpoint> ever_listed_;
  int attempts_ = 0;
  int final_responses_ = 0;
};

TEST(RandomWalk, BalancerInvariantsHold) {
  const IdempotencyPolicy policies[] = {{Idempotency::kIdempotent, DedupScope::kAll},
                                        {Idempotency::kIdempotencyKey, DedupScope::kAll},
                                        {Idempotency::kIdempotencyKey, DedupScope::kZone},
                                        {Idempotency::kIdempotencyKey, DedupScope::kCell},
                                        {Idempotency::kNotIdempotent, DedupScope::kAll}};
  for (const IdempotencyPolicy& policy : policies) {
    int attempts = 0;
    int final_responses = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      RandomWalk walk(seed, policy, seed % 2 == 0);
      for (int i = 0; i < 2000; ++i) walk.run_step();
      attempts += walk.attempts();
      final_responses += walk.final_responses();
      if (HasFailure()) {
        FAIL() << "seed " << seed << ", idempotency " << static_cast<int>(policy.idempotency) << ", scope "
               << static_cast<int>(policy.dedup_scope);
      }
    }
    EXPECT_GT(attempts, 5000);
    EXPECT_GT(final_responses, 1000);
  }
}

}  // namespace
}  // namespace asterdrift::balancer
