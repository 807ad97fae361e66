// The latency that a node adds: the same load sent directly, through a forwarding proxy, and through a node.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "scale/benchmark/benchmarks.h"
#include "scale/measurement/load_generator.h"
#include "scale/measurement/process_usage.h"
#include "scale/measurement/quantiles.h"
#include "scale/measurement/report.h"
#include "scale/stand_ins/discovery_process.h"
#include "scale/stand_ins/measured_node.h"
#include "scale/stand_ins/server_process.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr std::chrono::seconds kReadyTimeout{10};
constexpr Seconds kResponseTimeout = 3;
constexpr double kQuantileFractions[] = {0.5, 0.99, 0.999};
const char* const kNotApplicable = "-";

// A path on which requests reach the server, and the results of the requests on it.
struct Path {
  std::string name;
  int port = 0;
  std::vector<Seconds> latencies;  // latencies, in ascending order after send_rounds()
  std::size_t failed = 0;
};

struct Paths {
  Path direct{"direct", 0, {}, 0};
  Path proxy{"proxy", 0, {}, 0};
  Path node{"node", 0, {}, 0};
  Seconds node_processor_time = 0;  // the node's processor time for all requests on its path
};

std::string format_milliseconds(Seconds duration) { return format_fixed(duration * 1000, 3); }

void send_round(Path& path, double requests_per_second, Seconds duration, unsigned seed) {
  const auto requests = static_cast<std::size_t>(requests_per_second * duration);
  const LoadResult result = send_load({path.port, requests_per_second, requests, seed, kResponseTimeout});
  path.latencies.insert(path.latencies.end(), result.latencies.begin(), result.latencies.end());
  path.failed += result.failed;
}

// Sends the rounds of all paths. The paths take turns, so that other load on the machine affects all of them
// alike.
void send_rounds(Paths& paths, const MeasuredNode& node, double requests_per_second, unsigned rounds,
                 Seconds duration) {
  for (unsigned seed = 1; seed <= rounds; ++seed) {
    send_round(paths.direct, requests_per_second, duration, seed);
    send_round(paths.proxy, requests_per_second, duration, seed);
    const Seconds processor_time_before = read_process_usage(node.pid()).processor_time;
    send_round(paths.node, requests_per_second, duration, seed);
    paths.node_processor_time += read_process_usage(node.pid()).processor_time - processor_time_before;
  }
  for (Path* path : {&paths.direct, &paths.proxy, &paths.node}) {
    std::sort(path->latencies.begin(), path->latencies.end());
  }
}

std::vector<std::string> path_row(const Path& path, const Paths& paths, double requests_per_second) {
  const bool is_direct = &path == &paths.direct;
  const bool is_node = &path == &paths.node;
  std::vector<std::string> row = {format_fixed(requests_per_second, 0), path.name,
                                  std::to_string(path.latencies.size()), std::to_string(path.failed)};
  for (const double fraction : kQuantileFractions) {
    row.push_back(format_milliseconds(quantile(path.latencies, fraction)));
  }
  row.push_back(format_milliseconds(quantile(path.latencies, 1)));
  for (const double fraction : kQuantileFractions) {
    const Seconds added = quantile(path.latencies, fraction) - quantile(paths.direct.latencies, fraction);
    row.push_back(is_direct ? kNotApplicable : format_milliseconds(added));
  }
  for (const double fraction : kQuantileFractions) {
    const double ratio = quantile(path.latencies, fraction) / quantile(paths.proxy.latencies, fraction);
    row.push_back(is_node ? format_fixed(ratio, 2) : kNotApplicable);
  }
  const Seconds processor_time_per_request =
      paths.node_processor_time / static_cast<double>(path.latencies.size());
  row.push_back(is_node ? format_fixed(processor_time_per_request * 1e6) : kNotApplicable);
  return row;
}

}  // namespace

void run_latency_benchmark(const Options& options) {
  const auto rounds = static_cast<unsigned>(options.number("rounds", 5));
  const Seconds duration = options.number("seconds", 2);
  const auto servers = static_cast<std::size_t>(options.number("servers", 7));
  Report report("latency of requests in an open loop, ms, from the moment at which each was due",
                {"requests/s", "path", "succeeded", "failed", "p50", "p99", "p99.9", "max", "added p50",
                 "added p99", "added p99.9", "ratio p50", "ratio p99", "ratio p99.9", "node us/request"});
  raise_descriptor_limit();
  const ServerProcess server = start_stand_in_server(options.number("response-delay-ms", 0) / 1000);
  const ServerProcess proxy = start_forwarding_proxy(server.port());
  const DiscoveryProcess discovery(servers, server.port());
  NodeSetup setup;
  setup.discovery_port = discovery.port();
  setup.replicas = servers;
  setup.list_delivery = ListDelivery::kPushed;
  const MeasuredNode node(options.text("node", NODE), setup);
  if (!node.wait_ready(static_cast<double>(kReadyTimeout.count()))) {
    throw test_support::TimeoutError("readiness of the node on port " + std::to_string(node.port()),
                                     kReadyTimeout);
  }
  // Warms up each path: the results of these requests are not reported.
  for (const int port : {server.port(), proxy.port(), node.port()}) send_load({port, 200, 200, 1, 1});
  for (const double requests_per_second : options.numbers("rates", {330, 1300, 3000})) {
    Paths paths;
    paths.direct.port = server.port();
    paths.proxy.port = proxy.port();
    paths.node.port = node.port();
    send_rounds(paths, node, requests_per_second, rounds, duration);
    for (const Path* path : {&paths.direct, &paths.proxy, &paths.node}) {
      report.add_row(path_row(*path, paths, requests_per_second));
    }
  }
  report.add_note("added: less the same quantile of the requests sent directly. ratio: node over proxy.");
  report.add_note(std::to_string(rounds) + " rounds of " + format_fixed(duration, 0) +
                  " s for each path, in turn; " + std::to_string(servers) +
                  " servers on the list, all one process here.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
