// The processor time of a change and of a snapshot, in the balancer and in the endpoint list reader.
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

constexpr int kFirstSnapshotRuns = 5;
constexpr int kRepeatedSnapshotRuns = 11;
constexpr int kParseChangeRuns = 1001;
constexpr int kParseSnapshotRuns = 11;
constexpr std::size_t kMaxShortListServers = 1000;  // longer lists are measured with fewer changes
constexpr int kLongListChanges = 101;
constexpr int kShortListChanges = 1001;
constexpr std::size_t kChangedIndexStep = 7919;  // distance in the list from one changed server to the next
constexpr Seconds kChangePeriod = 0.1;           // simulated time between two changes

std::string format_microseconds(Seconds duration) { return format_fixed(duration * 1e6, 2); }

// A balancer that applies snapshots and changes in simulated time. The functions return processor times in
// ascending order.
class ChangeTrial {
 public:
  ChangeTrial(std::size_t servers, std::size_t replicas)
      : replicas_(replicas),
        snapshot_(snapshot_update(servers)),
        balancer_(settings_for_replicas(replicas), 1) {
    balancer_.handle(now_, snapshot_, actions_);
  }

  // The first snapshot of a new balancer, with reading the settings and constructing the balancer.
  std::vector<Seconds> first_snapshot_costs() {
    return measure_costs(kFirstSnapshotRuns, [&](int) {
      balancer::Balancer balancer(settings_for_replicas(replicas_), 1);
      balancer.handle(now_, snapshot_, actions_);
    });
  }

  // Changes in which a server starts to drain, or the one that drains is ready again.
  std::vector<Seconds> change_costs() {
    const std::size_t servers = snapshot_.endpoints.size();
    return measure_costs(servers > kMaxShortListServers ? kLongListChanges : kShortListChanges, [&](int run) {
      const std::size_t index = static_cast<std::size_t>(run / 2) * kChangedIndexStep % servers;
      balancer::EndpointUpdate change;
      change.form = balancer::EndpointUpdate::Form::kIncremental;
      change.endpoints = {snapshot_.endpoints[index]};
      if (run % 2 == 0) change.endpoints[0].state = balancer::EndpointState::kDraining;
      balancer_.handle(now_ += kChangePeriod, change, actions_);
    });
  }

  // A snapshot that equals the one which the balancer has already applied.
  std::vector<Seconds> repeated_snapshot_costs() {
    return measure_costs(kRepeatedSnapshotRuns,
                         [&](int) { balancer_.handle(now_ += kChangePeriod, snapshot_, actions_); });
  }

 private:
  static balancer::Settings settings_for_replicas(std::size_t replicas) {
    NodeSetup setup;
    setup.replicas = replicas;
    return balancer_settings(setup);
  }

  std::size_t replicas_;
  balancer::EndpointUpdate snapshot_;
  balancer::Balancer balancer_;
  std::vector<balancer::Action> actions_;
  Seconds now_ = 100;
};

// The processor times of parsing the list, in ascending order.
std::vector<Seconds> parse_costs(int runs, const std::string& list) {
  return measure_costs(runs, [&](int) { node::config::parse_endpoint_list(list, endpoint_zones()); });
}

}  // namespace

void run_change_benchmark(const Options& options) {
  Report report("cost of a change and of a snapshot, microseconds of processor time",
                {"servers", "change median", "change max", "first snapshot", "same snapshot again",
                 "read change", "read snapshot", "snapshot bytes"});
  for (const std::size_t servers : options.sizes("sizes", kListSizes)) {
    const double replicas = options.number("replicas", static_cast<double>(servers));
    ChangeTrial trial(servers, static_cast<std::size_t>(replicas));
    const std::vector<Seconds> snapshots = trial.first_snapshot_costs();
    const std::vector<Seconds> changes = trial.change_costs();
    const std::vector<Seconds> repeated = trial.repeated_snapshot_costs();
    const std::string snapshot = snapshot_text(1, servers, kUnusedEndpointPort);
    const std::string change = change_text(2, servers / 2, kUnusedEndpointPort, "leaving");
    const std::vector<Seconds> read_changes = parse_costs(kParseChangeRuns, change);
    const std::vector<Seconds> read_snapshots = parse_costs(kParseSnapshotRuns, snapshot);
    report.add_row({std::to_string(servers), format_microseconds(median(changes)),
                    format_microseconds(changes.back()), format_microseconds(median(snapshots)),
                    format_microseconds(median(repeated)), format_microseconds(median(read_changes)),
                    format_microseconds(median(read_snapshots)), std::to_string(snapshot.size())});
  }
  report.add_note(
      "change: a server drains, or is ready again. As many replicas as servers unless --replicas is given.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
