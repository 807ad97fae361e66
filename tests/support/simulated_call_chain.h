// A chain of services in virtual time: tiers of servers, each server with a replica of the real Balancer
// through which it sends requests to the next tier. The same scenario and seed give the same counts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "support/event_queue.h"
#include "support/random.h"

namespace asterdrift::balancer {

// Times and durations in seconds.
struct CallChainScenario {
  // Whether an attempt at a server fails, and how; kTimedOut: it is never answered. `chance` is uniformly
  // distributed from 0 to 1.
  using Failure = std::function<std::optional<Outcome>(int tier, double now, double chance)>;

  int tiers = 28;
  int servers_per_tier = 3;   // one replica stands in front of the first tier
  Settings settings;          // of each replica, apart from its tier, its index and their count
  double request_rate = 100;  // requests/s to the first tier
  double duration = 20;       // during which requests arrive
  double mean_service_time =
      0.001;                       // a server's own, without the next tier; each takes half to one and a half
  int slots = 1000;                // requests that a server handles at a time
  std::vector<int> slots_by_tier;  // in place of `slots`
  int queue_length = 0;            // requests that may wait for a slot; a server rejects more
  double connect_timeout = 0.25;   // after which a failed connection is noticed
  Failure failure = [](int, double, double) { return std::nullopt; };
  std::uint64_t seed = 1;
};

// What happened at one tier.
struct CallChainTierCounts {
  int requests = 0;          // given to the replicas in front of it
  int attempts = 0;          // of those requests
  int connect_failures = 0;  // attempts whose connection was not established
  int retries = 0;           // attempts after the first one, apart from those that follow a connect failure
  int succeeded = 0;         // attempts
  int rejected_as_full = 0;  // attempts, by servers without a free slot and with a full queue
};

// What happened to the requests of a run.
struct CallChainCounts {
  int requests = 0;  // to the first tier; those that are in none of the next three had no response in time
  int succeeded = 0;
  int rejected = 0;
  int failed = 0;
  std::vector<CallChainTierCounts> tiers;

  double attempts_at_last_tier_per_request() const;
};

// Runs one scenario.
class SimulatedCallChain {
 public:
  explicit SimulatedCallChain(CallChainScenario scenario);
  SimulatedCallChain(const SimulatedCallChain&) = delete;  // its events refer to it
  SimulatedCallChain& operator=(const SimulatedCallChain&) = delete;

  // Once for each chain.
  CallChainCounts run();

 private:
  enum class Response { kSucceeded, kRejected, kFailed };
  using Respond = std::function<void(Response)>;
  using Cancel = std::function<void()>;

  struct SentAttempt {
    std::size_t server = 0;
    double sent_at = 0;
    double timeout = 0;
    bool open = true;
    bool connect_failed = false;  // its connection will not be established
    Cancel cancel_next_tier;      // ends the request that its server has sent to the next tier
  };
  struct PendingRequest {
    int tier = 0;
    std::size_t replica = 0;
    double deadline = 0;
    Respond respond;  // empty once it has been called
    std::vector<std::shared_ptr<SentAttempt>> attempts;
  };
  struct ServerSlots {
    int busy = 0;
    std::vector<std::function<void()>> waiting;
  };

  void add_tier(int tier);
  void send_first_request();
  void count_response(Response response);

  double service_time();
  std::size_t replica_at(int tier, std::size_t server) const;

  Cancel send_request(int tier, std::size_t replica, double time_left, Respond respond);
  void abort(const std::string& id, PendingRequest& request);
  bool finish(PendingRequest& request, Response response);
  void handle(std::size_t replica, const Event& event);
  void carry_out(const Action& action);

  void send_attempt(const SendAttempt& send);
  void reach_server(const std::string& id, int attempt, PendingRequest& request);
  void fail_attempt(const std::string& id, int attempt, Outcome failure);
  void serve(const std::string& id, int attempt, int tier, SentAttempt& sent);
  void forward(const std::string& id, int attempt, int tier, SentAttempt& sent);
  void release_slot(int tier, std::size_t server);
  void end_attempt(const std::string& id, int attempt, Outcome outcome);

  CallChainScenario scenario_;
  support::Random random_;
  std::uint64_t sent_requests_ = 0;
  EventQueue queue_;
  std::vector<std::unique_ptr<Balancer>> replicas_;
  std::vector<std::vector<ServerSlots>> servers_;  // by tier
  std::map<std::string, std::shared_ptr<PendingRequest>>
      requests_;  // finished ones too: events refer to them
  CallChainCounts counts_;
};

}  // namespace asterdrift::balancer
