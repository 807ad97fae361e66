// The load on a control machine from the watches that it serves. The agent on each machine has one watch.
#include <string>

#include "scale/capacity/assumptions.h"
#include "scale/capacity/calculations.h"
#include "scale/capacity/value_format.h"

namespace asterdrift::scale::capacity {
namespace {

// Adds the messages and bytes that one control machine sends per second, and its link's unused capacity.
void add_traffic(Results& results, const std::string& event, double messages, double message_bytes) {
  const std::string prefix = "control." + event;
  results.add(prefix + "_messages", format_number(messages) + "/s");
  results.add(prefix + "_bytes", format_bytes(messages * message_bytes, "/s"));
  results.add(prefix + "_bytes_left",
              format_headroom(messages * message_bytes, assumption::kControlLinkRate.value));
}

}  // namespace

void add_control_plane(Results& results, const Fleet& fleet) {
  const double agents = fleet.agents_per_control_machine;
  const double servers = assumption::kServers.value;
  const double heartbeats = agents / assumption::kHeartbeatPeriod.value;
  const double batches = agents / assumption::kBatchPeriod.value;
  const double release_changes = assumption::kReleaseFraction.value * fleet.service_sizes.front();
  const double caller_fraction = fleet.largest_service_caller_fraction;
  const double log_changes = fleet.change_rate * assumption::kPartitionTime.value;

  results.add("control.agents", format_number(agents));
  results.add("control.state", format_bytes(list_bytes(servers)));
  results.add("control.log", format_bytes(log_changes * (list_bytes(0) + entry_bytes())));
  results.add("control.heartbeat_messages", format_number(heartbeats) + "/s");
  results.add("control.heartbeat_bytes",
              format_bytes(heartbeats * (1 + assumption::kMessageOverhead.value), "/s"));
  add_traffic(results, "mean", agents * fleet.change_rate, change_message_bytes());
  add_traffic(results, "busy", agents * fleet.change_rate * assumption::kBusiestMinuteFactor.value,
              change_message_bytes());
  add_traffic(results, "release", agents * release_changes, change_message_bytes());
  add_traffic(results, "release_batched", batches,
              batch_message_bytes(release_changes * assumption::kBatchPeriod.value));
  add_traffic(results, "zone", agents * servers / assumption::kZones.value, change_message_bytes());
  add_traffic(results, "zone_batched", batches,
              batch_message_bytes(servers / assumption::kZones.value * assumption::kBatchPeriod.value));
  // If each agent watches only the services that its node calls, a release of the largest service notifies
  // only the agents whose nodes call that service.
  results.add("control.notified_fraction", format_with_unit(caller_fraction * 100, "%"));
  add_traffic(results, "release_sized", agents * caller_fraction * release_changes, change_message_bytes());
  results.add("control.peer_messages",
              format_number(fleet.change_rate * (assumption::kControlMachines.value - 1)) + "/s");
}

}  // namespace asterdrift::scale::capacity
