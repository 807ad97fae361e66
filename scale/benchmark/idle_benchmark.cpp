// A node without requests, at different rates of changes.
#include <string>

#include "scale/benchmark/benchmarks.h"
#include "scale/benchmark/node_run.h"
#include "scale/measurement/report.h"
#include "scale/stand_ins/discovery_process.h"
#include "scale/stand_ins/endpoint_lists.h"
#include "scale/stand_ins/measured_node.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr double kReadyLimit = 10;   // s
constexpr double kSettleTime = 0.5;  // s

std::vector<std::string> measure(const std::string& program, std::size_t servers, double change_rate,
                                 double duration_s, ListDelivery list_delivery) {
  DiscoveryProcess discovery(servers, kUnusedEndpointPort);
  NodeSetup setup;
  setup.discovery_port = discovery.port();
  setup.replicas = servers;
  setup.list_delivery = list_delivery;
  const test_support::Stopwatch start;
  const MeasuredNode node(program, setup);
  const bool is_ready = node.wait_ready(kReadyLimit);
  const double ready_after = start.seconds();
  discovery.set_change_rate(change_rate);
  sleep_for(kSettleTime);
  const NodeRun run = measure_node(node, discovery, duration_s);
  return {std::to_string(servers),
          format_fixed(change_rate, 0),
          is_ready ? format_fixed(ready_after, 3) : "no",
          format_fixed(run.usage.resident_mb, 2),
          format_fixed(run.usage.peak_mb, 2),
          format_fixed(run.processor_percent, 3),
          format_fixed(run.kilobytes_per_second, 2),
          format_fixed(run.polls_per_second, 2)};
}

}  // namespace

void run_idle_benchmark(const Options& options) {
  const double duration_s = options.number("seconds", 10);
  const std::string program = options.text("node", NODE);
  const bool is_subscribed = options.flag("subscribe");
  const ListDelivery list_delivery = is_subscribed ? ListDelivery::kSubscribed : ListDelivery::kPushed;
  Report report("a node without requests", {"servers", "changes/s", "ready after s", "resident MB", "peak MB",
                                            "% of a core", "from discovery KB/s", "polls/s"});
  for (const std::size_t servers : options.sizes("sizes", kListSizes)) {
    for (const double rate : options.numbers("rates", {0, 5, 50})) {
      report.add_row(measure(program, servers, rate, duration_s, list_delivery));
    }
  }
  report.add_note("over " + format_fixed(duration_s, 0) + " s each, after the node was ready or " +
                  format_fixed(kReadyLimit, 0) + " s had passed; lists are " +
                  (is_subscribed ? "subscribed" : "pushed") + ". Its admin address is not open.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
