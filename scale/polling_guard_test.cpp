// Limits on what polling discovery costs: counts that no clock and no busy machine can change.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/discovery/poll_budget.h"
#include "node/discovery/poll_timeouts.h"
#include "scale/measurement/allocations.h"
#include "scale/stand_ins/endpoint_updates.h"
#include "scale/stand_ins/node_setup.h"
#include "scale/stand_ins/simulated_node.h"
#include "scale/stand_ins/stand_in_discovery.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr int kDialPort = 10000;
const std::vector<std::string> kZones = {"a", "b", "c"};

balancer::Settings settings_for(std::size_t copies, int tier = 1) {
  NodeSetup setup;
  setup.replicas = copies;
  setup.tier = tier;
  return node::config::read_config(config_text(setup)).settings;
}

// One discovery and simulated nodes before it, all on one thread. Waits are for events; the limit only ends
// what would hang.
struct Fleet {
  Fleet(std::size_t servers, std::size_t count, bool pushed) : discovery(io, servers, kDialPort) {
    for (std::size_t i = 0; i < count; ++i) {
      NodeSetup setup;
      setup.discovery_port = discovery.port();
      setup.replica_index = i;
      setup.replicas = count;
      setup.list_delivery = pushed ? ListDelivery::kPushed : ListDelivery::kSubscribed;
      setup.seed = i + 1;
      nodes.push_back(std::make_unique<SimulatedNode>(io, config_text(setup)));
    }
    for (const auto& node : nodes) node->start();
    until([&] { return all_at(discovery.version()); });
  }

  template <class Condition>
  void until(const Condition& holds) {
    for (const double from = test_support::steady_seconds(); !holds();) {
      if (test_support::steady_seconds() - from > 60) throw std::runtime_error("it did not come about");
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
  }
  std::uint64_t lost() const {
    std::uint64_t out = 0;
    for (const auto& node : nodes) out += node->counts().failed_watches;
    return out;
  }
  bool all_at(std::uint64_t seq) const {
    return std::all_of(nodes.begin(), nodes.end(),
                       [=](const auto& node) { return node->list_version() == seq; });
  }

  boost::asio::io_context io{1};
  StandInDiscovery discovery;
  std::vector<std::unique_ptr<SimulatedNode>> nodes;
};

std::uint64_t lists(const DiscoveryCounts& counts) { return counts.lists(); }

// A process that a busy machine holds still for longer than a time limit of the watch loses that watch: such
// a trial tells nothing and is made again. `trial` returns how many watches were lost beyond those it ended.
template <class Trial>
void undisturbed(const Trial& trial) {
  constexpr int kTrials = 20;
  for (int i = 0; i < kTrials; ++i) {
    if (trial() == 0 || ::testing::Test::HasFailure()) return;
  }
  FAIL() << "watches were lost in each of " << kTrials << " trials";
}

class Start : public ::testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(ScaleGuard, Start, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "Pushed" : "AskedFor"; });

// A start asks for one list, and its bytes are those of that list.
TEST_P(Start, AsksForOneWholeList) {
  for (const std::size_t servers : {7U, 27000U}) {
    undisturbed([&] {
      Fleet fleet(servers, 1, GetParam());
      const auto counts = fleet.discovery.counts();
      if (fleet.lost() > 0) return fleet.lost();
      EXPECT_EQ(counts.connections, 1U) << servers;
      EXPECT_EQ(counts.requests, 1U) << servers;
      EXPECT_EQ(lists(counts), 1U) << servers;
      EXPECT_LE(counts.bytes, snapshot_text(1, servers, kDialPort).size() + 200) << servers;
      EXPECT_EQ(fleet.nodes[0]->counts().snapshots, 1U) << servers;
      return std::uint64_t{0};
    });
  }
}

// What a change costs discovery is the change: it is told once, nothing is asked, and no list comes again.
TEST_P(Start, AChangeIsAllThatItBringsAbout) {
  for (const std::size_t servers : {7U, 27000U}) {
    undisturbed([&] {
      Fleet fleet(servers, 1, GetParam());
      const auto before = fleet.discovery.counts();
      for (std::size_t i = 0; i < 20; ++i) fleet.discovery.set_draining(i % servers, i % 2 == 0);
      fleet.until([&] { return fleet.all_at(fleet.discovery.version()); });
      const auto after = fleet.discovery.counts();
      if (fleet.lost() > 0) return fleet.lost();
      EXPECT_EQ(after.requests, before.requests) << servers;
      EXPECT_EQ(after.snapshots, before.snapshots) << servers;
      EXPECT_EQ(after.incremental_lists - before.incremental_lists, 20U) << servers;
      EXPECT_LE(after.bytes - before.bytes, 20U * 200) << servers;
      EXPECT_EQ(fleet.nodes[0]->counts().incremental_lists, 20U) << servers;
      return std::uint64_t{0};
    });
  }
}

// A node that lost its watch asks for what it has missed, not for everything again.
TEST_P(Start, ALostWatchIsTakenUpWhereItEnded) {
  undisturbed([&] {
    Fleet fleet(27000, 1, GetParam());
    const auto before = fleet.discovery.counts();
    fleet.discovery.set_mode(DiscoveryMode::kHealthy);  // ends all that is open
    fleet.discovery.set_draining(3, true);
    fleet.until([&] { return fleet.all_at(fleet.discovery.version()); });
    const auto after = fleet.discovery.counts();
    if (fleet.lost() > 1) return fleet.lost();
    EXPECT_EQ(after.requests - before.requests, 1U);
    EXPECT_EQ(after.snapshots, before.snapshots);
    EXPECT_LE(after.bytes - before.bytes, 400U);
    return std::uint64_t{0};
  });
}

// All of a fleet act on one change: told once each, and no call goes to the server that drains.
TEST(ScaleGuard, AChangeReachesEachOfManyNodesOnce) {
  undisturbed([] {
    Fleet fleet(20, 300, true);
    const auto before = fleet.discovery.counts();
    const std::uint64_t lost = fleet.lost();  // at the start, where all of them share one thread
    fleet.discovery.set_draining(11, true);
    fleet.until([&] { return fleet.all_at(fleet.discovery.version()); });
    const auto after = fleet.discovery.counts();
    if (fleet.lost() > lost) return fleet.lost();
    EXPECT_EQ(after.requests, before.requests);
    EXPECT_EQ(after.incremental_lists - before.incremental_lists, fleet.nodes.size());
    std::set<std::string> used;
    std::uint64_t sent = 0;
    for (const auto& node : fleet.nodes) {
      for (int i = 0; i < 10; ++i) used.insert(node->handle_request());
      EXPECT_EQ(node->counts().incremental_lists, 1U);
      sent += node->counts().attempts;
    }
    EXPECT_EQ(sent, 10 * fleet.nodes.size());
    EXPECT_EQ(used.size(), 19U);
    EXPECT_FALSE(used.contains(endpoint_name(11)));
    return std::uint64_t{0};
  });
}

// A watch that fails again and again is asked for again soon, whatever came before, so that a change is heard
// within what the rule on being told allows; and not by all nodes in step.
TEST(ScaleGuard, WaitsAfterFailedCallsStayShortAndJittered) {
  double least = 1000, most = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    balancer::Settings settings = settings_for(8);
    settings.requires_watch = true;
    settings.poll_within = 6;
    balancer::Balancer module(settings, seed);
    for (int i = 0; i < 8; ++i) {
      std::vector<balancer::Action> actions;
      balancer::EndpointUpdate failed;
      failed.form = balancer::EndpointUpdate::Form::kWatchFailed;
      module.handle(100, failed, actions);
      ASSERT_EQ(actions.size(), 1U);
      const double wait = std::get<balancer::SetTimer>(actions[0]).at - 100;
      least = std::min(least, wait);
      most = std::max(most, wait);
    }
  }
  EXPECT_LE(most, node::discovery::poll_timeouts::kWait);
  EXPECT_GE(least, node::discovery::poll_timeouts::kWait / 2);
  EXPECT_GE(most - least, node::discovery::poll_timeouts::kWait / 3);
}

// A list that can't be taken is asked for again after a wait that grows, asked for or pushed. A wait can only
// be longer than its timer on a busy machine, so what is least holds there too.
TEST_P(Start, AListThatCannotBeTakenIsAskedForLessAndLess) {
  boost::asio::io_context io(1);
  StandInDiscovery discovery(io, 700, kDialPort);
  discovery.set_mode(DiscoveryMode::kCorrupt);
  NodeSetup setup;
  setup.discovery_port = discovery.port();
  setup.list_delivery = GetParam() ? ListDelivery::kPushed : ListDelivery::kSubscribed;
  SimulatedNode node(io, config_text(setup));
  node.start();
  const auto until = [&](const auto& holds) {
    for (const double from = test_support::steady_seconds();
         !holds() && test_support::steady_seconds() - from < 60;) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
  };
  until([&] { return discovery.polled_at().size() >= 5; });
  const std::vector<double>& asked = discovery.polled_at();
  ASSERT_GE(asked.size(), 5U);
  for (std::size_t i = 0; i + 1 < 5; ++i) {
    const double wait = node::discovery::PollBudget::kFirstBackoff * static_cast<double>(1U << i);
    EXPECT_GE(asked[i + 1] - asked[i], wait / 2) << i;
  }
  EXPECT_FALSE(node.has_endpoints());
  discovery.set_mode(DiscoveryMode::kHealthy);
  until([&] { return node.has_endpoints(); });
  EXPECT_TRUE(node.has_endpoints());
}
}  // namespace
}  // namespace asterdrift::scale
