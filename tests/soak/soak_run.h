// One run of the soak test: plays the script of a seed with a node, clients, endpoints and discovery.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "asterdrift/seconds.h"
#include "soak/observations.h"
#include "soak/peer_threads.h"
#include "soak/rules.h"
#include "soak/script.h"
#include "soak/scripted_client.h"
#include "soak/scripted_discovery.h"
#include "soak/scripted_endpoint.h"
#include "support/fixed_address_fixture.h"

namespace asterdrift::soak {

class SoakRun {
 public:
  explicit SoakRun(std::uint64_t seed);

  // Plays the script, and returns the violations of the rules. May be called once.
  std::vector<Violation> run();

  // The script, the violations, and the history of each request that violates a rule.
  std::string report(const std::vector<Violation>& violations) const;
  // The counts of requests, attempts and closed connections, in one line.
  std::string summary() const;

 private:
  // A process of the node, and its state in the run.
  struct Process {
    std::unique_ptr<node::testing::NodeProcess> process;
    Seconds sigterm_at = 0;  // when the first SIGTERM was sent; 0: not sent yet
    long peak_memory_kb = 0;
    bool has_ended = false;
  };

  void start_peers();
  void advance();
  void send_signals(Seconds elapsed);
  void change_discovery(Seconds elapsed);
  void kill_overdue_processes();
  void check_resources();
  void kill_and_check(Process& process);
  Process& target_process(SignalStep::Target target);
  void add_endpoint();

  const Script script_;
  node::testing::TemporaryFolder folder_;
  test_support::ReservedPort port_;
  node::testing::NodeTestConfig config_;
  Observations observations_;
  std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints_;
  ScriptedDiscovery discovery_;
  ClientControl control_;
  std::vector<std::unique_ptr<ScriptedClient>> clients_;
  Process first_, successor_;
  Seconds started_at_ = 0, resources_checked_at_ = 0;
  std::size_t next_signal_ = 0, next_discovery_step_ = 0;
  std::vector<Violation> process_violations_;
  PeerThreads threads_;
};

}  // namespace asterdrift::soak
