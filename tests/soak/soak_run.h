// One run of the soak test: a node, its peers, and the script of a seed.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

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

  // Plays the script, and returns the rules that were broken. Once.
  std::vector<Violation> play();

  // The script, the violations, and the events of their requests in order.
  std::string report(const std::vector<Violation>& violations) const;
  // Counts of the run, in one line.
  std::string summary() const;

 private:
  // One process of the node, until it has ended.
  struct Process {
    std::unique_ptr<node::testing::NodeProcess> process;
    double terminated_at = 0;  // the first SIGTERM; 0: none yet
    long peak_memory_kb = 0;
    bool has_ended = false;
  };

  void start_peers();
  void advance();
  void send_signals(double elapsed);
  void change_discovery(double elapsed);
  void kill_overdue();
  void check_resources();
  void check_exit(Process& process);
  Process& process_of(SignalStep::Target target);
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
  double started_at_ = 0, resources_checked_at_ = 0;
  std::size_t next_signal_ = 0, next_discovery_step_ = 0;
  std::vector<Violation> process_violations_;
  PeerThreads threads_;
};

}  // namespace asterdrift::soak
