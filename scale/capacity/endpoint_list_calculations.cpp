// The memory, bandwidth and processor time that a node needs for its endpoint list.
#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "scale/capacity/assumptions.h"
#include "scale/capacity/calculations.h"
#include "scale/capacity/units.h"
#include "scale/capacity/value_format.h"

namespace asterdrift::scale::capacity {
namespace {

// Which servers the endpoint list of one node contains.
struct ListScope {
  std::string name;  // prefix of the keys of the scope's results
  double servers;    // number of servers on the list
  // Number of servers on the list that belong to the fleet's largest service.
  double largest_service_servers;
};

// Adds the results of one list scope.
class ListCalculation {
 public:
  ListCalculation(Results& results, const Fleet& fleet, const Measurements& measurements, ListScope scope)
      : results_(results),
        scope_(std::move(scope)),
        idle_processor_percent_(measurements.value("idle_cpu")),
        change_us_(CostCurve(measurements, "change_us").at(scope_.servers)),
        snapshot_us_(CostCurve(measurements, "snapshot_us").at(scope_.servers)),
        resident_mb_(CostCurve(measurements, "resident_mb").at(scope_.servers)),
        change_rate_(fleet.change_rate),
        fleet_fraction_(scope_.servers / assumption::kServers.value) {}

  void add_all() {
    add_list();
    add_steady_state("mean", 1.0);
    add_steady_state("busy", assumption::kBusiestMinuteFactor.value);
    add_burst("release", assumption::kReleaseFraction.value * scope_.largest_service_servers);
    add_burst("zone", scope_.servers / assumption::kZones.value);
    add_burst("partition", change_rate_ * fleet_fraction_ * assumption::kPartitionTime.value);
  }

 private:
  void add(const std::string& key, const std::string& text) { results_.add(scope_.name + "." + key, text); }

  void add_list() {
    const double bytes = list_bytes(scope_.servers);
    add("servers", format_number(std::round(scope_.servers)));
    add("list", format_bytes(bytes));
    add("list_time", format_seconds(bytes / kBandwidthLimitBytesPerSecond));
    add("memory", format_with_unit(resident_mb_, "MB"));
    add("memory_left", format_headroom(resident_mb_, assumption::kMemoryLimit.value));
    add("list_cpu", format_seconds(snapshot_us_ / kMicrosecondsPerSecond));
  }

  // Adds the costs of changes at `factor` times their mean rate, and of the heartbeats of the watch.
  void add_steady_state(const std::string& period, double factor) {
    const double heartbeat_bytes_per_second =
        (1 + assumption::kMessageOverhead.value) / assumption::kHeartbeatPeriod.value;
    const double rate = change_rate_ * fleet_fraction_ * factor;
    const double bytes_per_second = rate * change_message_bytes() + heartbeat_bytes_per_second;
    const double processor_percent =
        idle_processor_percent_ + rate * change_us_ / kMicrosecondsPerSecondPerCorePercent;
    add(period + "_changes", format_number(rate) + "/s");
    add(period + "_messages", format_number(rate + 1 / assumption::kHeartbeatPeriod.value) + "/s");
    add(period + "_bytes", format_bytes(bytes_per_second, "/s"));
    add(period + "_bytes_left", format_headroom(bytes_per_second, kBandwidthLimitBytesPerSecond));
    add(period + "_cpu", format_with_unit(processor_percent, "% of a core"));
    add(period + "_cpu_left", format_headroom(processor_percent, assumption::kProcessorLimit.value));
  }

  // Adds the costs of `entries` changes at once, each in a message of its own or all in one message.
  void add_burst(const std::string& event, double entries) {
    const double bytes = entries * change_message_bytes();
    const double processor_time_s = entries * change_us_ / kMicrosecondsPerSecond;
    const double snapshot_time_s = snapshot_us_ / kMicrosecondsPerSecond;
    add(event + "_entries", format_number(std::round(entries)));
    add(event + "_bytes", format_bytes(bytes));
    add(event + "_bytes_batched", format_bytes(batch_message_bytes(entries)));
    add(event + "_bytes_time", format_seconds(bytes / kBandwidthLimitBytesPerSecond));
    add(event + "_cpu", format_seconds(processor_time_s));
    add(event + "_cpu_batched", format_seconds(std::min(processor_time_s, snapshot_time_s)));
  }

  static constexpr double kBandwidthLimitBytesPerSecond =
      assumption::kBandwidthLimit.value * kBytesPerKilobyte;

  Results& results_;
  ListScope scope_;
  double idle_processor_percent_;  // processor use of an idle node, as a percentage of a core
  double change_us_, snapshot_us_, resident_mb_;
  double change_rate_, fleet_fraction_;
};

}  // namespace

void add_endpoint_lists(Results& results, const Fleet& fleet, const Measurements& measurements) {
  const double largest_service = fleet.service_sizes.front();
  const ListScope scopes[] = {
      {"all", assumption::kServers.value, largest_service},
      {"largest", fleet.largest_services_servers, largest_service},
      {"sized", fleet.sized_services_servers, largest_service * fleet.largest_service_caller_fraction},
      {"even", fleet.even_services_servers,
       largest_service * assumption::kServicesPerNode.value / assumption::kServices.value}};
  for (const ListScope& scope : scopes) ListCalculation(results, fleet, measurements, scope).add_all();
}

}  // namespace asterdrift::scale::capacity
