// The time from a change until all of many simulated nodes have applied it.
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

constexpr double kListLimit = 30;               // s, until all nodes have a list
constexpr double kPause = 0.1;                  // s, before a change
constexpr std::size_t kSpareDescriptors = 100;  // for all but the nodes

// Nodes in this process, and discovery in another.
class PropagationTrial {
 public:
  PropagationTrial(std::size_t servers, std::size_t nodes, ListDelivery list_delivery)
      : servers_(servers), discovery_(servers, kUnusedEndpointPort) {
    for (std::size_t index = 0; index < nodes; ++index) {
      const NodeSetup setup = replica_setup(discovery_.port(), index, nodes, list_delivery);
      nodes_.push_back(std::make_unique<SimulatedNode>(io_, config_text(setup),
                                                       [this](SimulatedNode& node) { record(node); }));
    }
  }

  // Starts all nodes at once. False where not all of them get a list in time.
  bool start() {
    const double started_at = steady_seconds();
    for (const auto& node : nodes_) node->start();
    const bool all_ready = wait_for_nodes();
    start_time_ = applied_at_.empty() ? 0 : applied_at_.back() - started_at;
    return all_ready;
  }

  // Drains a server, or makes the one drained last ready again. False where not all nodes apply it in time.
  bool change(int number) {
    run_for(io_, kPause);
    applied_at_.clear();
    expected_version_ += 1;
    const std::size_t index = static_cast<std::size_t>(number / 2) % servers_;
    const bool drains = number % 2 == 0;
    drained_server_ = drains ? endpoint_name(index) : "";
    const double changed_at = discovery_.set_draining(index, drains);
    if (!wait_for_nodes()) return false;
    half_times_.push_back(applied_at_[nodes_.size() / 2] - changed_at);
    last_times_.push_back(applied_at_.back() - changed_at);
    return true;
  }

  DiscoveryCounts counts() { return discovery_.counts(); }
  double start_time() const { return start_time_; }
  // Of each change, until half of the nodes and until the last one had applied it.
  const std::vector<double>& half_times() const { return half_times_; }
  const std::vector<double>& last_times() const { return last_times_; }
  std::size_t requests_to_drained() const { return requests_to_drained_; }

 private:
  // Each node sends a request as soon as it has applied a list.
  void record(SimulatedNode& node) {
    if (node.list_version() != expected_version_) return;
    const std::string server = node.handle_request();
    if (!drained_server_.empty() && server == drained_server_) ++requests_to_drained_;
    applied_at_.push_back(steady_seconds());
  }

  bool wait_for_nodes() {
    return run_until(io_, kListLimit, [&] { return applied_at_.size() >= nodes_.size(); });
  }

  std::size_t servers_;
  DiscoveryProcess discovery_;
  boost::asio::io_context io_{1};
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
  std::uint64_t expected_version_ = 1;
  std::string drained_server_;
  std::vector<double> applied_at_;  // of the expected version, by each node that has it
  double start_time_ = 0;
  std::vector<double> half_times_, last_times_;
  std::size_t requests_to_drained_ = 0;
};

void require_descriptors(std::size_t nodes) {
  const std::size_t limit = raise_descriptor_limit();
  if (nodes + kSpareDescriptors <= limit) return;
  throw std::system_error(
      EMFILE, std::generic_category(),
      std::to_string(nodes) + " nodes with a limit of " + std::to_string(limit) + " descriptors");
}

std::string milliseconds(double seconds) { return format_fixed(seconds * 1000, 2); }

std::vector<std::string> measure(std::size_t servers, std::size_t nodes, int repeats,
                                 ListDelivery list_delivery) {
  const std::string incomplete = "not all";
  PropagationTrial trial(servers, nodes, list_delivery);
  const bool all_ready = trial.start();
  const DiscoveryCounts before = trial.counts();
  bool all_changed = all_ready;
  for (int number = 0; all_changed && number < repeats; ++number) all_changed = trial.change(number);
  const DiscoveryCounts after = trial.counts();
  const std::uint64_t change_bytes =
      (after.bytes - before.bytes) / nodes / static_cast<std::uint64_t>(repeats);
  const auto text = [&](double seconds) { return all_changed ? milliseconds(seconds) : incomplete; };
  std::vector<double> last_times = trial.last_times();
  std::sort(last_times.begin(), last_times.end());
  return {std::to_string(nodes),
          text(median(trial.half_times())),
          text(median(last_times)),
          text(quantile(last_times, 1)),
          all_ready ? milliseconds(trial.start_time()) : incomplete,
          std::to_string(before.bytes / nodes),
          std::to_string(change_bytes),
          std::to_string(trial.requests_to_drained()),
          format_fixed(usage_of(getpid()).resident_mb)};
}

}  // namespace

void run_propagation_benchmark(const Options& options) {
  const auto servers = static_cast<std::size_t>(options.number("servers", 70));
  const int repeats = static_cast<int>(options.number("repeats", 11));
  const ListDelivery list_delivery =
      options.flag("subscribe") ? ListDelivery::kSubscribed : ListDelivery::kPushed;
  Report report("time from a change until N simulated nodes have applied it, ms; and of all starting at once",
                {"nodes", "half of them, median", "last, median", "last, max", "last ready", "start bytes",
                 "change bytes", "requests to a drained server", "this process MB"});
  for (const std::size_t nodes : options.sizes("nodes", {10, 100, 1000, 4000})) {
    require_descriptors(nodes);
    report.add_row(measure(servers, nodes, repeats, list_delivery));
  }
  report.add_note(std::to_string(servers) + " servers on the list, " + std::to_string(repeats) +
                  " changes; bytes are those of one node. Each node sends a request as soon as it has");
  report.add_note(
      "applied a list. All simulated nodes share one thread, so their own work adds up; a real fleet's does "
      "not.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
