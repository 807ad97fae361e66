// The time from a change of an endpoint until all of many simulated nodes have applied the change.
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cerrno>
#include <cstdint>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "scale/benchmark/benchmarks.h"
#include "scale/measurement/process_usage.h"
#include "scale/measurement/quantiles.h"
#include "scale/measurement/report.h"
#include "scale/stand_ins/discovery_process.h"
#include "scale/stand_ins/endpoint_lists.h"
#include "scale/stand_ins/event_loop.h"
#include "scale/stand_ins/node_setup.h"
#include "scale/stand_ins/simulated_node.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

using test_support::steady_seconds;

constexpr Seconds kListTimeout = 30;         // longest wait until all nodes have applied a list
constexpr Seconds kPauseBeforeChange = 0.1;  // pause before each change
// Descriptors for everything except the nodes' connections.
constexpr std::size_t kReservedDescriptors = 100;

// Simulated nodes in this process, and the stand-in discovery in another process.
class PropagationTrial {
 public:
  PropagationTrial(std::size_t servers, std::size_t nodes, ListDelivery list_delivery)
      : servers_(servers), discovery_(servers, kUnusedEndpointPort) {
    for (std::size_t index = 0; index < nodes; ++index) {
      const NodeSetup setup = replica_setup(discovery_.port(), index, nodes, list_delivery);
      nodes_.push_back(std::make_unique<SimulatedNode>(
          io_, config_text(setup), [this](SimulatedNode& node) { handle_applied_list(node); }));
    }
  }

  // Starts all nodes at once. Returns whether all of them have applied a list within the timeout.
  bool start() {
    const Seconds started_at = steady_seconds();
    for (const auto& node : nodes_) node->start();
    const bool all_ready = wait_for_nodes();
    time_until_last_ready_ = applied_at_.empty() ? 0 : applied_at_.back() - started_at;
    return all_ready;
  }

  // Drains a server if the number of the change is even, and makes that server ready again if it is odd.
  // Returns whether all nodes have applied the change within the timeout.
  bool change_endpoint(int change_number) {
    run_for(io_, kPauseBeforeChange);
    applied_at_.clear();
    expected_version_ += 1;
    const std::size_t index = static_cast<std::size_t>(change_number / 2) % servers_;
    const bool drains = change_number % 2 == 0;
    draining_server_ = drains ? endpoint_name(index) : "";
    const Seconds changed_at = discovery_.set_draining(index, drains);
    if (!wait_for_nodes()) return false;
    times_until_half_.push_back(applied_at_[nodes_.size() / 2] - changed_at);
    times_until_last_.push_back(applied_at_.back() - changed_at);
    return true;
  }

  DiscoveryCounts counts() { return discovery_.counts(); }
  // From the start of all nodes until the last one had applied a list; 0 if none has.
  Seconds time_until_last_ready() const { return time_until_last_ready_; }
  // For each change, the time until half of the nodes had applied the change.
  const std::vector<Seconds>& times_until_half() const { return times_until_half_; }
  // For each change, the time until the last node had applied the change.
  const std::vector<Seconds>& times_until_last() const { return times_until_last_; }
  // The number of requests that nodes sent to the draining server after they had applied the change.
  std::size_t requests_to_draining() const { return requests_to_draining_; }

 private:
  // Called when a node has applied a list. Sends a request through the node, and records the time.
  void handle_applied_list(SimulatedNode& node) {
    if (node.list_version() != expected_version_) return;
    const std::string server = node.handle_request();
    if (!draining_server_.empty() && server == draining_server_) ++requests_to_draining_;
    applied_at_.push_back(steady_seconds());
  }

  bool wait_for_nodes() {
    return run_until(io_, kListTimeout, [&] { return applied_at_.size() >= nodes_.size(); });
  }

  std::size_t servers_;
  DiscoveryProcess discovery_;
  boost::asio::io_context io_{1};
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
  std::uint64_t expected_version_ = 1;
  std::string draining_server_;
  std::vector<Seconds> applied_at_;  // when each node applied the expected version, in ascending order
  Seconds time_until_last_ready_ = 0;
  std::vector<Seconds> times_until_half_, times_until_last_;
  std::size_t requests_to_draining_ = 0;
};

// Throws std::system_error unless this process may open a connection for each node.
void require_descriptors(std::size_t nodes) {
  const std::size_t limit = raise_descriptor_limit();
  if (nodes + kReservedDescriptors <= limit) return;
  throw std::system_error(EMFILE, std::generic_category(),
                          std::to_string(nodes) + " nodes need " +
                              std::to_string(nodes + kReservedDescriptors) +
                              " open files, but the limit (RLIMIT_NOFILE) is " + std::to_string(limit));
}

std::string format_milliseconds(Seconds duration) { return format_fixed(duration * 1000, 2); }

// Measures one fleet of nodes, and returns the row of the report.
std::vector<std::string> measure_row(std::size_t servers, std::size_t nodes, int changes,
                                     ListDelivery list_delivery) {
  const std::string incomplete = "not all";
  PropagationTrial trial(servers, nodes, list_delivery);
  const bool all_ready = trial.start();
  const DiscoveryCounts before = trial.counts();
  bool all_changed = all_ready;
  for (int number = 0; all_changed && number < changes; ++number) all_changed = trial.change_endpoint(number);
  const DiscoveryCounts after = trial.counts();
  const std::uint64_t change_bytes =
      (after.bytes - before.bytes) / nodes / static_cast<std::uint64_t>(changes);
  const auto format_time = [&](Seconds time) { return all_changed ? format_milliseconds(time) : incomplete; };
  std::vector<Seconds> times_until_last = trial.times_until_last();
  std::sort(times_until_last.begin(), times_until_last.end());
  return {std::to_string(nodes),
          format_time(median(trial.times_until_half())),
          format_time(median(times_until_last)),
          format_time(quantile(times_until_last, 1)),
          all_ready ? format_milliseconds(trial.time_until_last_ready()) : incomplete,
          std::to_string(before.bytes / nodes),
          std::to_string(change_bytes),
          std::to_string(trial.requests_to_draining()),
          format_fixed(read_process_usage(getpid()).resident_mb)};
}

}  // namespace

void run_propagation_benchmark(const Options& options) {
  const auto servers = static_cast<std::size_t>(options.number("servers", 70));
  const int changes = static_cast<int>(options.number("repeats", 11));
  const ListDelivery list_delivery =
      options.flag("subscribe") ? ListDelivery::kSubscribed : ListDelivery::kPushed;
  Report report("time from a change until N simulated nodes have applied it, ms; and of all starting at once",
                {"nodes", "half of them, median", "last, median", "last, max", "last ready", "start bytes",
                 "change bytes", "requests to a drained server", "this process MB"});
  for (const std::size_t nodes : options.sizes("nodes", {10, 100, 1000, 4000})) {
    require_descriptors(nodes);
    report.add_row(measure_row(servers, nodes, changes, list_delivery));
  }
  report.add_note(std::to_string(servers) + " servers on the list, " + std::to_string(changes) +
                  " changes; bytes are those of one node. Each node sends a request as soon as it has");
  report.add_note(
      "applied a list. All simulated nodes share one thread, so their own work adds up; a real fleet's does "
      "not.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
