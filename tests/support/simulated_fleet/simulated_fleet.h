// A fleet in virtual time: replicas of the real Balancer in front of simulated servers, some of which start
// during the run, with requests that arrive at random, tenants beyond their quotas and clients that retry.
// The same scenario and seed give the same counts.
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
  int succeeded = 0;         // requests answered before their client gave up
  int within_objective = 0;  // requests answered within the latency objective
  int rejected = 0;          // final responses, those to retries of clients included
  int failed = 0;            // the same
  int attempts = 0;          // sent to servers

  // Attempts that the starting servers received, as a fraction of those that they could have answered.
  double slow_start_utilization() const;
};

// Runs one scenario.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(const FleetScenario& scenario);
  SimulatedFleet(const SimulatedFleet&) = delete;  // its events refer to it
  SimulatedFleet& operator=(const SimulatedFleet&) = delete;

  // Once for each fleet.
  FleetCounts run();

 private:
  struct PendingRequest {
    ClientRequest client;
    bool answered = false;            // or its client has given up
    std::vector<bool> attempt_ended;  // by number of the attempt
  };
  struct Replica {
    std::unique_ptr<Balancer> balancer;
    Settings settings;
    bool alive = true;
    std::vector<bool> notified;  // by server: of its start
    std::unordered_map<std::string, PendingRequest> requests;
  };

  void add_servers();
  void add_replicas();
  void add_replica(const Settings& settings);
  Settings replica_settings() const;

  void open_replica(std::size_t replica);
  void close_replica(std::size_t replica);
  void schedule_replica_set_change();
  void schedule_start(std::size_t server);
  void start_server(std::size_t server);
  void notify_of_start(std::size_t replica, std::size_t server);

  void send_request(const ClientRequest& client);
  void give_up_request(std::size_t replica, const std::string& id);
  void end_request(std::size_t replica, const std::string& id, double retry_after);

  void handle(std::size_t replica, const Event& event);
  void carry_out(std::size_t replica, const Action& action);
  void send_attempt(std::size_t replica, const SendAttempt& send);
  void respond(const FleetAttempt& attempt, Outcome outcome);
  void end_attempt(const FleetAttempt& attempt, Outcome outcome);
  void record_success(PendingRequest& request);

  double arrival_time();  // of a message that is sent now

  FleetScenario scenario_;
  std::vector<RequestClass> classes_;
  EventQueue queue_;
  SimulationRandom random_;
  double capacity_ = 0;                  // requests/s of all servers together
  std::deque<SimulatedServer> servers_;  // events refer to its elements; the first ones start during the run
  std::vector<Replica> replicas_;        // closed ones included
  std::vector<std::size_t> open_replicas_;
  std::unique_ptr<ClientTraffic> traffic_;
  std::size_t sent_requests_ = 0;
  FleetCounts counts_;
};

}  // namespace asterdrift::balancer
