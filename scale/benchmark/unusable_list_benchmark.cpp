// Polls of a node, from its start on, while discovery does not send a list that it can use.
#include <string>
#include <vector>

#include "scale/benchmark/benchmarks.h"
#include "scale/benchmark/node_run.h"
#include "scale/measurement/report.h"
#include "scale/stand_ins/discovery_process.h"
#include "scale/stand_ins/endpoint_lists.h"
#include "scale/stand_ins/measured_node.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr double kReadyLimit = 10;  // s
const char* const kNotApplicable = "-";

struct Case {
  std::string name;
  DiscoveryMode mode;
};

const Case kCases[] = {
    {"healthy", DiscoveryMode::kHealthy},         {"one corrupt entry", DiscoveryMode::kCorrupt},
    {"truncated list", DiscoveryMode::kTruncate}, {"503", DiscoveryMode::kUnavailable},
    {"no response", DiscoveryMode::kHang},        {"connection refused", DiscoveryMode::kRefuse}};

// The time until the node is ready, after discovery has become healthy.
std::string recovery_time(const MeasuredNode& node, DiscoveryProcess& discovery) {
  const test_support::Stopwatch stopwatch;
  discovery.set_mode(DiscoveryMode::kHealthy);
  return node.wait_ready(kReadyLimit) ? format_fixed(stopwatch.seconds(), 3) : "no";
}

std::vector<std::string> measure(const std::string& program, std::size_t servers, ListDelivery list_delivery,
                                 const Case& tested, double duration_s) {
  DiscoveryProcess discovery(servers, kUnusedEndpointPort);
  discovery.set_mode(tested.mode);
  NodeSetup setup;
  setup.discovery_port = discovery.port();
  setup.replicas = servers;
  setup.list_delivery = list_delivery;
  const MeasuredNode node(program, setup);
  const test_support::Stopwatch stopwatch;
  sleep_for(duration_s);
  const double elapsed = stopwatch.seconds();
  const ProcessUsage usage = usage_of(node.pid());
  const DiscoveryCounts counts = discovery.counts();
  const bool is_ready = node.is_ready();
  const bool accepts_polls = tested.mode != DiscoveryMode::kRefuse;
  const double polls_per_second = static_cast<double>(counts.requests) / elapsed;
  return {std::to_string(servers),
          list_delivery == ListDelivery::kPushed ? "pushed" : "subscribed",
          tested.name,
          accepts_polls ? format_fixed(polls_per_second, 2) : kNotApplicable,
          format_fixed(static_cast<double>(counts.bytes) / elapsed / kBytesPerKilobyte),
          format_fixed(usage.processor_time_s / elapsed * 100, 2),
          format_fixed(usage.resident_mb),
          is_ready ? "yes" : "no",
          tested.mode == DiscoveryMode::kHealthy ? kNotApplicable : recovery_time(node, discovery)};
}

}  // namespace

void run_unusable_list_benchmark(const Options& options) {
  const double duration_s = options.number("seconds", 20);
  const std::string program = options.text("node", NODE);
  Report report("polls of a node from its start on, by what discovery does",
                {"servers", "lists", "discovery", "polls/s", "KB/s", "% of a core of the node", "resident MB",
                 "ready", "ready after recovery s"});
  for (const std::size_t servers : options.sizes("servers", {700, 27000})) {
    for (const ListDelivery list_delivery : {ListDelivery::kPushed, ListDelivery::kSubscribed}) {
      for (const Case& tested : kCases) {
        report.add_row(measure(program, servers, list_delivery, tested, duration_s));
      }
    }
  }
  report.add_note("over " + format_fixed(duration_s, 0) +
                  " s each, with the start. Bytes are those that discovery has sent.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
