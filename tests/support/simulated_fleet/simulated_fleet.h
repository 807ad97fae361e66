// Simulation of a fleet in virtual time: replicas of the real Balancer send requests to simulated servers,
// some of which start during the run. Requests arrive at random, tenants exceed their quotas, and clients
// retry. The same scenario and seed give the same counts.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "support/event_queue.h"
#include "support/simulated_fleet/client_traffic.h"
#include "support/simulated_fleet/fleet_scenario.h"
#include "support/simulated_fleet/overload_window.h"
#include "support/simulated_fleet/simulated_server.h"
#include "support/simulated_fleet/simulation_random.h"

namespace asterdrift::balancer {

// What happened to the requests of a run.
struct FleetCounts {
  SlowStartLoad slow_start;
  int requests = 0;          // without retries of clients
  int succeeded = 0;         // requests with a successful response before their client gave up
  int within_objective = 0;  // requests with a successful response within the latency objective
  int rejected = 0;          // rejections, including those of retries of clients
  int failed = 0;            // failures, including those of retries of clients
  int attempts = 0;          // sent to servers

  // Attempts that the starting servers received, as a fraction of those that they could have completed.
  double slow_start_utilization() const;
};

// Runs one scenario.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(const FleetScenario& scenario);
  SimulatedFleet(const SimulatedFleet&) = delete;  // scheduled events refer to it
  SimulatedFleet& operator=(const SimulatedFleet&) = delete;

  // May be called once.
  FleetCounts run();

 private:
  struct PendingRequest {
    ClientRequest client;
    bool finished = false;            // a response was sent, or the client has given up
    std::vector<bool> attempt_ended;  // whether each attempt has ended, by attempt number
  };
  struct Replica {
    std::unique_ptr<Balancer> balancer;
    Settings settings;
    bool running = true;
    // Whether the replica was notified of the start of each server.
    std::vector<bool> notified;
    std::unordered_map<std::string, PendingRequest> requests;
  };

  void add_servers();
  void add_replicas();
  void add_replica(const Settings& settings);
  Settings replica_settings() const;

  // Sends a new replica its first endpoint list, which includes servers that have only just started.
  void start_replica(std::size_t replica);
  void stop_replica(std::size_t replica);
  void schedule_replica_set_change();
  void schedule_start(std::size_t server);
  void start_server(std::size_t server);
  void notify_of_start(std::size_t replica, std::size_t server);

  void send_request(const ClientRequest& client);
  void abort_request(std::size_t replica, const std::string& id);
  void finish_request(std::size_t replica, const std::string& id, Seconds retry_after);

  void handle(std::size_t replica, const Event& event);
  void execute(std::size_t replica, const Action& action);
  void send_attempt(std::size_t replica, const SendAttempt& send);
  void respond(const FleetAttempt& attempt, Outcome outcome);
  // Reports the outcome to the replica, unless the attempt has already ended or the replica has stopped.
  void end_attempt(const FleetAttempt& attempt, Outcome outcome);
  void record_success(PendingRequest& request);

  // Draws the arrival time of a message that is sent now.
  Seconds message_arrival_time();

  FleetScenario scenario_;
  std::vector<RequestClass> classes_;
  EventQueue queue_;
  SimulationRandom random_;
  double capacity_ = 0;  // capacity of all servers together, in requests/s
  // The first `starting_servers` start during the run. A deque, because scheduled events refer to its
  // elements.
  std::deque<SimulatedServer> servers_;
  std::vector<Replica> replicas_;              // including stopped ones
  std::vector<std::size_t> running_replicas_;  // indexes into replicas_
  std::unique_ptr<ClientTraffic> traffic_;
  std::size_t last_request_number_ = 0;
  FleetCounts counts_;
};

}  // namespace asterdrift::balancer
