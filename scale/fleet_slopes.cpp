// Slopes of simulated nodes before the stand-in discovery.
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>

#include "scale/measurement/process_usage.h"
#include "scale/measurement/report.h"
#include "scale/slopes.h"
#include "scale/stand_ins/discovery_process.h"
#include "scale/stand_ins/node_setup.h"
#include "scale/stand_ins/simulated_node.h"
#include "scale/stand_ins/stand_in_discovery.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr double kLimit = 30;  // s, for what should take far less

// Whether it came about in time.
bool run_until(boost::asio::io_context& io, double limit_s, const std::function<bool()>& holds) {
  for (const double from = test_support::steady_seconds(); !holds();) {
    if (test_support::steady_seconds() - from > limit_s) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

std::string bytes_text(std::uint64_t bytes) { return std::to_string(bytes); }

}  // namespace

void traffic_slope(const Options& options) {
  const double idle = options.number("seconds", 60);
  Report report("what one node gets from discovery: bytes and messages, HTTP's own among them",
                {"servers", "start bytes", "start lists", "start asks", "change bytes", "change lists",
                 "idle bytes", "idle lists", "idle empty lines", "idle asks", "ready"});
  struct Trial {
    std::size_t servers;
    std::unique_ptr<StandInDiscovery> discovery;
    std::unique_ptr<SimulatedNode> node;
    DiscoveryCounts start, change;
    bool ready = false;
  };
  boost::asio::io_context io(1);
  std::vector<std::unique_ptr<Trial>> trials;
  for (const std::size_t servers : options.sizes("sizes", kSizes)) {
    auto trial = std::make_unique<Trial>();
    trial->servers = servers;
    trial->discovery = std::make_unique<StandInDiscovery>(io, servers, 10000);
    NodeSetup setup;
    setup.discovery_port = trial->discovery->port();
    setup.replicas = servers;
    setup.list_delivery = options.flag("asked") ? ListDelivery::kSubscribed : ListDelivery::kPushed;
    trial->node = std::make_unique<SimulatedNode>(io, config_text(setup));
    trial->node->start();
    trial->ready = run_until(io, 3, [&] { return trial->node->has_endpoints(); });
    run_until(io, 0.2, [] { return false; });
    trial->start = trial->discovery->counts();
    trial->discovery->set_draining(servers / 2, true);
    run_until(io, 0.2, [&] { return trial->node->list_version() == trial->discovery->version(); });
    trial->change = trial->discovery->counts();
    trials.push_back(std::move(trial));
  }
  std::vector<DiscoveryCounts> before;
  before.reserve(trials.size());
  for (const auto& trial : trials) before.push_back(trial->discovery->counts());
  run_until(io, idle, [] { return false; });
  for (std::size_t i = 0; i < trials.size(); ++i) {
    const Trial& t = *trials[i];
    const auto after = t.discovery->counts();
    const auto lists = [](const DiscoveryCounts& c) { return c.lists(); };
    report.row({std::to_string(t.servers), bytes_text(t.start.bytes), std::to_string(lists(t.start)),
                std::to_string(t.start.requests), bytes_text(t.change.bytes - t.start.bytes),
                std::to_string(lists(t.change) - lists(t.start)), bytes_text(after.bytes - before[i].bytes),
                std::to_string(lists(after) - lists(before[i])),
                std::to_string(after.heartbeats - before[i].heartbeats),
                std::to_string(after.requests - before[i].requests), t.ready ? "yes" : "no"});
  }
  report.note("idle: " + figure(idle, 0) + " s without a change. Lists are " +
              (options.flag("asked") ? "asked for." : "pushed.") +
              " Not ready: the start's figures are those of its first 3 s.");
  report.print(options.text("json", ""));
}

void spread_slope(const Options& options) {
  const auto servers = static_cast<std::size_t>(options.number("servers", 70));
  const int repeats = static_cast<int>(options.number("repeats", 11));
  Report report(
      "time from a change until N simulated nodes have acted on it, ms; and of all starting at once",
      {"nodes", "half of them", "last, median", "last, worst", "last ready", "start bytes", "change bytes",
       "sent to a drained one", "this process MB"});
  const std::size_t descriptors = raise_descriptor_limit();
  for (const std::size_t nodes : options.sizes("nodes", {10, 100, 1000, 4000})) {
    if (nodes + 100 > descriptors) throw std::runtime_error("too few descriptors for so many nodes");
    DiscoveryProcess discovery(servers, 10000);
    boost::asio::io_context io(1);
    std::uint64_t wanted = 1;
    std::size_t wrong = 0;
    std::string drained;
    std::vector<double> acted;
    std::vector<std::unique_ptr<SimulatedNode>> all;
    const auto act = [&](SimulatedNode& node) {
      if (node.list_version() != wanted) return;
      if (const std::string server = node.handle_request(); server == drained && !drained.empty()) ++wrong;
      acted.push_back(test_support::steady_seconds());
    };
    for (std::size_t i = 0; i < nodes; ++i) {
      NodeSetup setup;
      setup.discovery_port = discovery.port();
      setup.replica_index = i;
      setup.replicas = nodes;
      setup.list_delivery = options.flag("asked") ? ListDelivery::kSubscribed : ListDelivery::kPushed;
      setup.seed = i + 1;
      all.push_back(std::make_unique<SimulatedNode>(io, config_text(setup), act));
    }
    const double began = test_support::steady_seconds();
    for (const auto& node : all) node->start();
    const bool ready = run_until(io, kLimit, [&] { return acted.size() >= nodes; });
    const double start = acted.empty() ? 0 : acted.back() - began;
    const auto before = discovery.counts();
    std::vector<double> halves, lasts;
    for (int i = 0; ready && i < repeats; ++i) {
      run_until(io, 0.1, [] { return false; });
      acted.clear();
      wanted += 1;
      const std::size_t place = static_cast<std::size_t>(i / 2) % servers;
      drained = i % 2 == 0 ? endpoint_name(place) : "";
      const double at = discovery.set_draining(place, i % 2 == 0);
      if (!run_until(io, kLimit, [&] { return acted.size() >= nodes; })) break;
      halves.push_back(acted[nodes / 2] - at);
      lasts.push_back(acted.back() - at);
    }
    const auto after = discovery.counts();
    std::sort(lasts.begin(), lasts.end());
    const auto ms = [](double s) { return figure(s * 1000, 2); };
    const bool told = lasts.size() == static_cast<std::size_t>(repeats);
    report.row({std::to_string(nodes), told ? ms(median(halves)) : "not all",
                told ? ms(median(lasts)) : "not all", told ? ms(lasts.back()) : "not all",
                ready ? ms(start) : "not all", bytes_text(before.bytes / nodes),
                bytes_text((after.bytes - before.bytes) / nodes / static_cast<std::uint64_t>(repeats)),
                std::to_string(wrong), figure(usage_of(getpid()).resident_mb)});
  }
  report.note(std::to_string(servers) + " servers on the list, " + std::to_string(repeats) +
              " changes; bytes are those of one node. Each node calls as soon as its module");
  report.note(
      "has been told. All simulated nodes share one thread, so their own work adds up; a real fleet's does "
      "not.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
