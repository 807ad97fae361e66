// The bytes and messages that one simulated node receives from discovery.
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "scale/benchmark/benchmarks.h"
#include "scale/measurement/report.h"
#include "scale/stand_ins/event_loop.h"
#include "scale/stand_ins/node_setup.h"
#include "scale/stand_ins/simulated_node.h"
#include "scale/stand_ins/stand_in_discovery.h"

namespace asterdrift::scale {
namespace {

constexpr Seconds kReadyTimeout = 3;
constexpr Seconds kSettlingTime = 0.2;  // pause after the node's start, before the change
constexpr Seconds kChangeTimeout = 0.2;

// One node and its discovery. The trial records discovery's counts after each phase: start, change and idle
// time.
class TrafficTrial {
 public:
  TrafficTrial(boost::asio::io_context& io, std::size_t servers, ListDelivery list_delivery)
      : io_(io), servers_(servers), discovery_(io, servers, kUnusedEndpointPort) {
    NodeSetup setup;
    setup.discovery_port = discovery_.port();
    setup.replicas = servers;
    setup.list_delivery = list_delivery;
    node_ = std::make_unique<SimulatedNode>(io, config_text(setup));
  }

  void run_start_phase() {
    node_->start();
    is_ready_ = run_until(io_, kReadyTimeout, [&] { return node_->has_endpoints(); });
    run_for(io_, kSettlingTime);
    after_start_ = discovery_.counts();
  }

  void run_change_phase() {
    discovery_.set_draining(servers_ / 2, true);
    run_until(io_, kChangeTimeout, [&] { return node_->list_version() == discovery_.version(); });
    after_change_ = discovery_.counts();
  }

  void begin_idle_phase() { before_idle_ = discovery_.counts(); }

  // The row of the report, with the idle phase until now.
  std::vector<std::string> row() const {
    const DiscoveryCounts& after_idle = discovery_.counts();
    return {std::to_string(servers_),
            std::to_string(after_start_.bytes),
            std::to_string(after_start_.lists()),
            std::to_string(after_start_.requests),
            std::to_string(after_change_.bytes - after_start_.bytes),
            std::to_string(after_change_.lists() - after_start_.lists()),
            std::to_string(after_idle.bytes - before_idle_.bytes),
            std::to_string(after_idle.lists() - before_idle_.lists()),
            std::to_string(after_idle.heartbeats - before_idle_.heartbeats),
            std::to_string(after_idle.requests - before_idle_.requests),
            is_ready_ ? "yes" : "no"};
  }

 private:
  boost::asio::io_context& io_;
  std::size_t servers_;
  StandInDiscovery discovery_;
  std::unique_ptr<SimulatedNode> node_;
  DiscoveryCounts after_start_, after_change_, before_idle_;
  bool is_ready_ = false;
};

}  // namespace

void run_traffic_benchmark(const Options& options) {
  const Seconds idle_duration = options.number("seconds", 60);
  const bool is_subscribed = options.flag("subscribe");
  const ListDelivery list_delivery = is_subscribed ? ListDelivery::kSubscribed : ListDelivery::kPushed;
  Report report("what one node receives from discovery: bytes and messages, with HTTP's own",
                {"servers", "start bytes", "start lists", "start polls", "change bytes", "change lists",
                 "idle bytes", "idle lists", "idle heartbeats", "idle polls", "ready"});
  boost::asio::io_context io(1);
  std::vector<std::unique_ptr<TrafficTrial>> trials;
  for (const std::size_t servers : options.sizes("sizes", kListSizes)) {
    trials.push_back(std::make_unique<TrafficTrial>(io, servers, list_delivery));
    trials.back()->run_start_phase();
    trials.back()->run_change_phase();
  }
  for (const auto& trial : trials) trial->begin_idle_phase();
  run_for(io, idle_duration);
  for (const auto& trial : trials) report.add_row(trial->row());
  report.add_note("idle: " + format_fixed(idle_duration, 0) + " s without a change. Lists are " +
                  (is_subscribed ? "subscribed." : "pushed.") +
                  " Not ready: the start's counts are those of its first 3 s.");
  report.print(options.text("json", ""));
}

}  // namespace asterdrift::scale
