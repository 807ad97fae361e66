// Simulation of a chain of services in virtual time. Each server of a tier has a replica of the real
// Balancer, through which it sends requests to the next tier. The same scenario and seed give the same
// counts.
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
#include "asterdrift/seconds.h"
#include "support/event_queue.h"
#include "support/random.h"

namespace asterdrift::balancer {

// The servers, the load and the failures of one run.
struct CallChainScenario {
  // Returns how an attempt at a server fails, if it fails; kTimedOut means that the server never responds.
  // `draw` is a random number, uniformly distributed from 0 to 1.
  using FailureModel = std::function<std::optional<Outcome>(int tier, Seconds now, double draw)>;

  int tiers = 28;
  int servers_per_tier = 3;  // a single replica sends to the first tier
  // Settings of each replica, except its tier, its index and the number of replicas.
  Settings settings;
  double requests_per_second = 100;  // rate of requests to the first tier
  Seconds duration = 20;             // length of the period in which requests arrive
  // Time that a server itself takes for a request, without the next tier: between 0.5 and 1.5 times the mean.
  Seconds mean_service_time = 0.001;
  int slots = 1000;                // requests that a server handles at the same time
  std::vector<int> slots_by_tier;  // replaces `slots` unless empty
  int max_queue_length = 0;  // requests that may wait for a slot of a server, which rejects further ones
  // Time after which an attempt ends if its connection is not established.
  Seconds connect_timeout = 0.25;
  FailureModel failure_model = [](int, Seconds, double) { return std::nullopt; };
  std::uint64_t seed = 1;
};

// What happened at one tier.
struct CallChainTierCounts {
  int requests = 0;  // given to the replicas that send to the tier
  int attempts = 0;
  int connect_failures = 0;  // attempts whose connection was not established
  int retries = 0;           // attempts after the first one, except those that follow a connect failure
  int successful_attempts = 0;
  int rejected_by_full_servers = 0;  // attempts at servers without a free slot and with a full queue
};

// What happened to the requests of a run.
struct CallChainCounts {
  // Requests to the first tier. Those that are counted in none of succeeded, rejected and failed had no
  // response in time.
  int requests = 0;
  int succeeded = 0;
  int rejected = 0;
  int failed = 0;
  std::vector<CallChainTierCounts> tiers;

  // Attempts at the last tier for each request to the first tier.
  double attempts_at_last_tier_per_request() const;
};

// Runs one scenario.
class SimulatedCallChain {
 public:
  explicit SimulatedCallChain(CallChainScenario scenario);
  SimulatedCallChain(const SimulatedCallChain&) = delete;  // scheduled events refer to it
  SimulatedCallChain& operator=(const SimulatedCallChain&) = delete;

  // May be called once.
  CallChainCounts run();

 private:
  enum class Response { kSucceeded, kRejected, kFailed };
  using Respond = std::function<void(Response)>;
  using Cancel = std::function<void()>;

  struct SentAttempt {
    std::size_t server = 0;
    Seconds sent_at = 0;
    Seconds timeout = 0;
    bool open = true;
    bool connect_failed = false;      // the connection will not be established
    Cancel cancel_next_tier_request;  // ends the request that the server has sent to the next tier
  };
  struct PendingRequest {
    int tier = 0;
    std::size_t replica = 0;
    Seconds deadline = 0;
    Respond respond;  // empty after the response
    std::vector<std::shared_ptr<SentAttempt>> attempts;
  };
  struct ServerSlots {
    int busy = 0;
    std::vector<std::function<void()>> waiting;
  };

  void add_tier(int tier);
  void send_request_to_first_tier();
  void count_response(Response response);

  // Draws a random service time. It varies because with equal response times the module's estimate of their
  // spread is zero, and an attempt would time out in the instant of its response.
  Seconds service_time();
  // Index of the replica that sends to `tier` for this server of the tier before.
  std::size_t replica_index(int tier, std::size_t server) const;

  // Gives a request to a replica that sends to `tier`. Returns a function that cancels the request.
  Cancel send_request(int tier, std::size_t replica, Seconds time_left, Respond respond);
  // Ends a request because its client has gone or its deadline has passed, unless the module has ended it.
  void abort(const std::string& id, PendingRequest& request);
  // Returns whether the request had no response yet.
  bool finish(PendingRequest& request, Response response);
  void handle(std::size_t replica, const Event& event);
  void execute(const Action& action);

  void send_attempt(const SendAttempt& send);
  void deliver_attempt(const std::string& id, int attempt, PendingRequest& request);
  void fail_attempt(const std::string& id, int attempt, Outcome failure);
  // Serves an attempt in a slot of its server: the server's own work, then a request to the next tier. The
  // slot stays occupied to the end. A client that leaves stops no work, but ends the request to the next
  // tier.
  void serve(const std::string& id, int attempt, int tier, SentAttempt& sent);
  void forward(const std::string& id, int attempt, int tier, SentAttempt& sent);
  void release_slot(int tier, std::size_t server);
  void end_attempt(const std::string& id, int attempt, Outcome outcome);

  CallChainScenario scenario_;
  support::Random random_;
  std::uint64_t last_request_id_ = 0;
  EventQueue queue_;
  std::vector<std::unique_ptr<Balancer>> replicas_;
  std::vector<std::vector<ServerSlots>> servers_;  // servers of each tier
  // Requests by id. Finished requests stay, because scheduled events refer to them.
  std::map<std::string, std::shared_ptr<PendingRequest>> requests_;
  CallChainCounts counts_;
};

}  // namespace asterdrift::balancer
