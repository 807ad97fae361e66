// The memory, processor time and polls of a node that gets no requests, at different rates of endpoint
// changes.
#include <string>

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
constexpr Seconds kSettlingTime = 0.5;  // pause between setting the change rate and the measurement

// Measures one node, and returns the row of the report.
std::vector<std::string> measure_row(const std::string& program, std::size_t servers,
                                     double changes_per_second, Seconds duration,
                                     ListDelivery list_delivery) {
  DiscoveryProcess discovery(servers, kUnusedEndpointPort);
  NodeSetup setup;
  setup.discovery_port = discovery.port();
  setup.replicas = servers;
  setup.list_delivery = list_delivery;
  const test_support::Stopwatch stopwatch;
  const MeasuredNode node(program, setup);
  const bool is_ready = node.wait_ready(kReadyTimeout);
  const Seconds ready_after = stopwatch.seconds();
  discovery.set_change_rate(changes_per_second);
  sleep_for(kSettlingTime);
  const NodeMeasurement measurement = measure_node(node, discovery, duration);
  return {std::to_string(servers),
          format_fixed(changes_per_second, 0),
          is_ready ? format_fixed(ready_after, 3) : "no",
          format_fixed(measurement.usage.resident_mb, 2),
          format_fixed(measurement.usage.peak_mb, 2),
          format_fixed(measurement.processor_percent, 3),
          format_fixed(measurement.kilobytes_per_second, 2),
          format_fixed(measurement.polls_per_second, 2)};
}

}  // namespace

void run_idle_benchmark(const Options& options) {
  const Seconds duration = options.number("seconds", 10);
  const std::string program = options.text("node", NODE);
  const bool is_subscribed = options.flag("subscribe");
  const ListDelivery list_delivery = is_subscribed ? ListDelivery::kSubscribed : ListDelivery::kPushed;
  Report report("a node without requests", {"servers", "changes/s", "ready after s", "resident MB", "peak MB",
                                            "% of a core", "from discovery KB/s", "polls/s"});
  for (const std::size_t servers : options.sizes("sizes", kListSizes)) {
    for (const double changes_per_second : options.numbers("rates", {0, 5, 50})) {
      report.add_row(measure_row(program, servers, changes_per_second, duration, list_delivery));
    }
  }
  report.add_note("over " + format_fixed(duration, 0) + " s each, after the node was ready or " +
                  format_fixed(kReadyTimeout, 0) + " s had passed; lists are " +
                  (is_subscribed ? "subscribed" : "pushed") + ". Its admin address is not open.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
