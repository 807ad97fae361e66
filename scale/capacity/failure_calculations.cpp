// The effects of restarts, of the failure of a control machine or a zone, and of partitions between regions.
#include <cmath>
#include <string>

#include "scale/capacity/assumptions.h"
#include "scale/capacity/calculations.h"
#include "scale/capacity/units.h"
#include "scale/capacity/value_format.h"

namespace asterdrift::scale::capacity {

void add_fleet_restart(Results& results, const Fleet& fleet) {
  struct Scope {
    std::string name;
    double servers;
  };
  const Scope scopes[] = {{"all", assumption::kServers.value},
                          {"sized", fleet.sized_services_servers},
                          {"even", fleet.even_services_servers}};
  const double control_machines = assumption::kControlMachines.value;
  const double bandwidth_limit_bytes_per_second = assumption::kBandwidthLimit.value * kBytesPerKilobyte;
  for (const Scope& scope : scopes) {
    const std::string prefix = "restart." + scope.name + "_";
    const double node_bytes = list_bytes(scope.servers);
    const double fleet_bytes = node_bytes * (assumption::kServers.value + fleet.front_nodes);
    results.add(prefix + "bytes", format_bytes(fleet_bytes));
    results.add(prefix + "control_bytes", format_bytes(fleet_bytes / control_machines));
    results.add(prefix + "link_time",
                format_seconds(fleet_bytes / control_machines / assumption::kControlLinkRate.value));
    results.add(prefix + "node_time", format_seconds(node_bytes / bandwidth_limit_bytes_per_second));
    results.add(prefix + "required_rate",
                format_bytes(node_bytes / assumption::kPropagationLimit.value, "/s"));
  }
}

void add_control_machine_loss(Results& results, const Fleet& fleet) {
  const double agents = fleet.agents_per_control_machine;
  const double remaining_machines = assumption::kControlMachines.value - 1;
  const double snapshot_bytes = agents / remaining_machines * list_bytes(assumption::kServers.value);
  results.add("machine_loss.agents", format_number(agents));
  results.add("machine_loss.agents_each", format_number(std::ceil(agents / remaining_machines)));
  results.add("machine_loss.snapshot_bytes", format_bytes(snapshot_bytes));
  results.add("machine_loss.snapshot_time",
              format_seconds(snapshot_bytes / assumption::kControlLinkRate.value));
  results.add(
      "machine_loss.catch_up_bytes",
      format_bytes(agents / remaining_machines * fleet.change_rate * assumption::kBusiestMinuteFactor.value *
                   assumption::kPropagationLimit.value * change_message_bytes()));
}

void add_zone_loss(Results& results, const Fleet& fleet) {
  const double zones = assumption::kZones.value;
  // Expected values: a service is lost if all its servers are in the failed zone.
  double lost_services = 0;
  double lost_request_fraction = 0;
  for (const double size : fleet.service_sizes) {
    lost_services += std::pow(1 / zones, size);
    lost_request_fraction += std::pow(1 / zones, size) * size / fleet.total_servers;
  }
  results.add("zone_loss.servers", format_number(std::round(assumption::kServers.value / zones)));
  results.add("zone_loss.requests", format_with_unit(100 / zones, "%"));
  results.add("zone_loss.services", format_number(lost_services));
  results.add("zone_loss.requests_without_servers", format_with_unit(lost_request_fraction * 100, "%"));
  results.add("zone_loss.added_load", format_with_unit(100 / (zones - 1), "%"));
}

void add_partition(Results& results, const Fleet& fleet) {
  const double nodes = assumption::kServers.value + fleet.front_nodes;
  const double partition_time_s = assumption::kPartitionTime.value;
  results.add("partition.changes", format_number(std::round(fleet.change_rate * partition_time_s)));
  results.add("partition.fleet_bytes",
              format_bytes(nodes * fleet.change_rate * partition_time_s * change_message_bytes()));
  results.add("partition.fleet_snapshot_bytes", format_bytes(nodes * list_bytes(assumption::kServers.value)));
  results.add("partition.unreachable", format_with_unit(100 * (1 - 1 / assumption::kRegions.value), "%"));
}

}  // namespace asterdrift::scale::capacity
