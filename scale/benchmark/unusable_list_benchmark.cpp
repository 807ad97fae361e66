// The polls of a node from its start on, while discovery sends no endpoint list that the node can use.
#include <string>
#include <vector>

#include "scale/benchmark/benchmarks.h"
#include "scale/benchmark/node_measurement.h"
#include "scale/measurement/report.h"
#include "scale/stand_ins/discovery_process.h"
#include "scale/stand_ins/endpoint_lists.h"
#include "scale/stand_ins/measured_node.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr Seconds kReadyTimeout = 10;
const char* const kNotApplicable = "-";

// A behaviour of discovery, with its name in the report.
struct DiscoveryBehaviour {
  std::string name;
  DiscoveryMode mode;
};

const DiscoveryBehaviour kBehaviours[] = {
    {"healthy", DiscoveryMode::kHealthy},         {"one corrupt entry", DiscoveryMode::kCorrupt},
    {"truncated list", DiscoveryMode::kTruncate}, {"503", DiscoveryMode::kUnavailable},
    {"no response", DiscoveryMode::kHang},        {"connection refused", DiscoveryMode::kRefuse}};

// Makes discovery healthy, and returns the time until the node is ready in seconds; "no" after 10 s.
std::string measure_recovery(const MeasuredNode& node, DiscoveryProcess& discovery) {
  const test_support::Stopwatch stopwatch;
  discovery.set_mode(DiscoveryMode::kHealthy);
  return node.wait_ready(kReadyTimeout) ? format_fixed(stopwatch.seconds(), 3) : "no";
}

// Measures one node, and returns the row of the report.
std::vector<std::string> measure_row(const std::string& program, std::size_t servers,
                                     ListDelivery list_delivery, const DiscoveryBehaviour& behaviour,
                                     Seconds duration) {
  DiscoveryProcess discovery(servers, kUnusedEndpointPort);
  discovery.set_mode(behaviour.mode);
  NodeSetup setup;
  setup.discovery_port = discovery.port();
  setup.replicas = servers;
  setup.list_delivery = list_delivery;
  const MeasuredNode node(program, setup);
  const test_support::Stopwatch stopwatch;
  sleep_for(duration);
  const Seconds elapsed = stopwatch.seconds();
  const ProcessUsage usage = read_process_usage(node.pid());
  const DiscoveryCounts counts = discovery.counts();
  const bool is_ready = node.is_ready();
  const bool accepts_polls = behaviour.mode != DiscoveryMode::kRefuse;
  const double polls_per_second = static_cast<double>(counts.requests) / elapsed;
  return {std::to_string(servers),
          list_delivery == ListDelivery::kPushed ? "pushed" : "subscribed",
          behaviour.name,
          accepts_polls ? format_fixed(polls_per_second, 2) : kNotApplicable,
          format_fixed(static_cast<double>(counts.bytes) / elapsed / kBytesPerKilobyte),
          format_fixed(usage.processor_time / elapsed * 100, 2),
          format_fixed(usage.resident_mb),
          is_ready ? "yes" : "no",
          behaviour.mode == DiscoveryMode::kHealthy ? kNotApplicable : measure_recovery(node, discovery)};
}

}  // namespace

void run_unusable_list_benchmark(const Options& options) {
  const Seconds duration = options.number("seconds", 20);
  const std::string program = options.text("node", NODE);
  Report report("polls of a node from its start on, by what discovery does",
                {"servers", "lists", "discovery", "polls/s", "KB/s", "% of a core of the node", "resident MB",
                 "ready", "ready after recovery s"});
  for (const std::size_t servers : options.sizes("servers", {700, 27000})) {
    for (const ListDelivery list_delivery : {ListDelivery::kPushed, ListDelivery::kSubscribed}) {
      for (const DiscoveryBehaviour& behaviour : kBehaviours) {
        report.add_row(measure_row(program, servers, list_delivery, behaviour, duration));
      }
    }
  }
  report.add_note("over " + format_fixed(duration, 0) +
                  " s each, with the start. Bytes are those that discovery has sent.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
