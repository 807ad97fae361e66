// The cost of a change and of a snapshot, in the balancer and in the list reader.
#include <string>
#include <vector>

#include "node/config/endpoint_list_reader.h"
#include "scale/benchmark/benchmarks.h"
#include "scale/measurement/processor_time.h"
#include "scale/measurement/quantiles.h"
#include "scale/measurement/report.h"
#include "scale/stand_ins/endpoint_lists.h"
#include "scale/stand_ins/endpoint_updates.h"
#include "scale/stand_ins/node_setup.h"

namespace asterdrift::scale {
namespace {

constexpr int kSnapshotRuns = 5;
constexpr int kRepeatedSnapshotRuns = 11;
constexpr int kReadChangeRuns = 1001;
constexpr int kReadSnapshotRuns = 11;
constexpr std::size_t kLongList = 1000;  // servers; longer lists see fewer changes
constexpr int kLongListChanges = 101;
constexpr int kShortListChanges = 1001;
constexpr std::size_t kChangeStep = 7919;  // indices from one changed server to the next
constexpr double kChangePeriod = 0.1;      // s of the balancer's time

std::string microseconds(double seconds) { return format_fixed(seconds * 1e6, 2); }

// A balancer that applies lists and changes, in a simulated time.
class ChangeTrial {
 public:
  ChangeTrial(std::size_t servers, std::size_t replicas)
      : replicas_(replicas), snapshot_(snapshot_update(servers)), balancer_(settings_for(replicas), 1) {
    balancer_.handle(now_, snapshot_, actions_);
  }

  // With reading the settings and making the balancer.
  std::vector<double> first_snapshot_costs() {
    return costs_of(kSnapshotRuns, [&](int) {
      balancer::Balancer balancer(settings_for(replicas_), 1);
      balancer.handle(now_, snapshot_, actions_);
    });
  }

  // A server drains, or is ready again.
  std::vector<double> change_costs() {
    const std::size_t servers = snapshot_.endpoints.size();
    return costs_of(servers > kLongList ? kLongListChanges : kShortListChanges, [&](int run) {
      const std::size_t index = static_cast<std::size_t>(run / 2) * kChangeStep % servers;
      balancer::EndpointUpdate change;
      change.form = balancer::EndpointUpdate::Form::kIncremental;
      change.endpoints = {snapshot_.endpoints[index]};
      if (run % 2 == 0) change.endpoints[0].state = balancer::EndpointState::kDraining;
      balancer_.handle(now_ += kChangePeriod, change, actions_);
    });
  }

  std::vector<double> repeated_snapshot_costs() {
    return costs_of(kRepeatedSnapshotRuns,
                    [&](int) { balancer_.handle(now_ += kChangePeriod, snapshot_, actions_); });
  }

 private:
  static balancer::Settings settings_for(std::size_t replicas) {
    NodeSetup setup;
    setup.replicas = replicas;
    return balancer_settings(setup);
  }

  std::size_t replicas_;
  balancer::EndpointUpdate snapshot_;
  balancer::Balancer balancer_;
  std::vector<balancer::Action> actions_;
  double now_ = 100;  // s
};

std::vector<double> read_costs(int runs, const std::string& list) {
  return costs_of(runs, [&](int) { node::config::parse_endpoint_list(list, endpoint_zones()); });
}

}  // namespace

void run_change_benchmark(const Options& options) {
  Report report("cost of a change and of a snapshot, microseconds of processor time",
                {"servers", "change median", "change max", "first snapshot", "same snapshot again",
                 "read change", "read snapshot", "snapshot bytes"});
  for (const std::size_t servers : options.sizes("sizes", kListSizes)) {
    const double replicas = options.number("replicas", static_cast<double>(servers));
    ChangeTrial trial(servers, static_cast<std::size_t>(replicas));
    const std::vector<double> snapshots = trial.first_snapshot_costs();
    const std::vector<double> changes = trial.change_costs();
    const std::vector<double> repeated = trial.repeated_snapshot_costs();
    const std::string snapshot = snapshot_text(1, servers, kUnusedEndpointPort);
    const std::string change = change_text(2, servers / 2, kUnusedEndpointPort, "leaving");
    const std::vector<double> read_changes = read_costs(kReadChangeRuns, change);
    const std::vector<double> read_snapshots = read_costs(kReadSnapshotRuns, snapshot);
    report.add_row({std::to_string(servers), microseconds(median(changes)), microseconds(changes.back()),
                    microseconds(median(snapshots)), microseconds(median(repeated)),
                    microseconds(median(read_changes)), microseconds(median(read_snapshots)),
                    std::to_string(snapshot.size())});
  }
  report.add_note(
      "change: a server drains, or is ready again. As many replicas as servers unless --replicas is given.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
