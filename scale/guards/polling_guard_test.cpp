// Limits on what polling discovery costs: counts that no clock and no busy machine can change.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "node/discovery/poll_budget.h"
#include "node/discovery/poll_timeouts.h"
#include "scale/guards/polling_fleet.h"
#include "scale/stand_ins/endpoint_lists.h"
#include "scale/stand_ins/event_loop.h"
#include "scale/stand_ins/node_setup.h"
#include "scale/stand_ins/simulated_node.h"
#include "scale/stand_ins/stand_in_discovery.h"

namespace asterdrift::scale {

// For the names of tests.
std::ostream& operator<<(std::ostream& out, ListDelivery list_delivery) {
  return out << (list_delivery == ListDelivery::kPushed ? "Pushed" : "Subscribed");
}

namespace {

constexpr double kWaitLimit = 60;          // s; only ends a test that would hang
constexpr std::uint64_t kUndisturbed = 0;  // watches lost to the machine
constexpr std::size_t kListSizes[] = {7, 27000};

// A watch is lost where a busy machine suspends the process for longer than the watch's time limit. Such a
// trial shows nothing and is repeated. `trial` returns the number of watches that it lost but did not end.
void repeat_until_undisturbed(const std::function<std::uint64_t()>& trial) {
  constexpr int kTrials = 20;
  for (int i = 0; i < kTrials; ++i) {
    if (trial() == kUndisturbed || ::testing::Test::HasFailure()) return;
  }
  FAIL() << "watches were lost in each of " << kTrials << " trials";
}

class ListWatch : public ::testing::TestWithParam<ListDelivery> {};
INSTANTIATE_TEST_SUITE_P(ScaleGuard, ListWatch,
                         ::testing::Values(ListDelivery::kSubscribed, ListDelivery::kPushed),
                         [](const auto& info) { return ::testing::PrintToString(info.param); });

// A start polls one list, and its bytes are those of that list.
TEST_P(ListWatch, StartPollsOneSnapshot) {
  for (const std::size_t servers : kListSizes) {
    repeat_until_undisturbed([&] {
      PollingFleet fleet(servers, 1, GetParam());
      const DiscoveryCounts counts = fleet.discovery().counts();
      if (fleet.failed_watches() > 0) return fleet.failed_watches();
      EXPECT_EQ(counts.connections, 1U) << servers;
      EXPECT_EQ(counts.requests, 1U) << servers;
      EXPECT_EQ(counts.lists(), 1U) << servers;
      EXPECT_LE(counts.bytes, snapshot_text(1, servers, kUnusedEndpointPort).size() + 200) << servers;
      EXPECT_EQ(fleet.nodes()[0]->counts().snapshots, 1U) << servers;
      return kUndisturbed;
    });
  }
}

// A change is sent once; it causes no poll, and no further list.
TEST_P(ListWatch, ChangeCausesNoPollAndNoSnapshot) {
  for (const std::size_t servers : kListSizes) {
    repeat_until_undisturbed([&] {
      PollingFleet fleet(servers, 1, GetParam());
      const DiscoveryCounts before = fleet.discovery().counts();
      for (std::size_t i = 0; i < 20; ++i) fleet.discovery().set_draining(i % servers, i % 2 == 0);
      fleet.wait_until_current();
      const DiscoveryCounts after = fleet.discovery().counts();
      if (fleet.failed_watches() > 0) return fleet.failed_watches();
      EXPECT_EQ(after.requests, before.requests) << servers;
      EXPECT_EQ(after.snapshots, before.snapshots) << servers;
      EXPECT_EQ(after.incremental_lists - before.incremental_lists, 20U) << servers;
      EXPECT_LE(after.bytes - before.bytes, 20U * 200) << servers;
      EXPECT_EQ(fleet.nodes()[0]->counts().incremental_lists, 20U) << servers;
      return kUndisturbed;
    });
  }
}

// A node that lost its watch polls what it has missed, not a snapshot.
TEST_P(ListWatch, LostWatchResumesFromItsVersion) {
  repeat_until_undisturbed([&] {
    PollingFleet fleet(27000, 1, GetParam());
    const DiscoveryCounts before = fleet.discovery().counts();
    fleet.discovery().set_mode(DiscoveryMode::kHealthy);  // closes the open connections
    fleet.discovery().set_draining(3, true);
    fleet.wait_until_current();
    const DiscoveryCounts after = fleet.discovery().counts();
    if (fleet.failed_watches() > 1) return fleet.failed_watches();
    EXPECT_EQ(after.requests - before.requests, 1U);
    EXPECT_EQ(after.snapshots, before.snapshots);
    EXPECT_LE(after.bytes - before.bytes, 400U);
    return kUndisturbed;
  });
}

// All nodes of a fleet apply a change that is sent once to each, and send no request to the draining server.
TEST(ScaleGuard, ChangeIsSentOnceToEachOfManyNodes) {
  repeat_until_undisturbed([] {
    constexpr std::size_t kDrained = 11;
    PollingFleet fleet(20, 300, ListDelivery::kPushed);
    const DiscoveryCounts before = fleet.discovery().counts();
    const std::uint64_t failed_at_start = fleet.failed_watches();  // all nodes share one thread
    fleet.discovery().set_draining(kDrained, true);
    fleet.wait_until_current();
    const DiscoveryCounts after = fleet.discovery().counts();
    if (fleet.failed_watches() > failed_at_start) return fleet.failed_watches();
    EXPECT_EQ(after.requests, before.requests);
    EXPECT_EQ(after.incremental_lists - before.incremental_lists, fleet.nodes().size());
    std::set<std::string> used_servers;
    std::uint64_t attempts = 0;
    for (const auto& node : fleet.nodes()) {
      for (int i = 0; i < 10; ++i) used_servers.insert(node->handle_request());
      EXPECT_EQ(node->counts().incremental_lists, 1U);
      attempts += node->counts().attempts;
    }
    EXPECT_EQ(attempts, 10 * fleet.nodes().size());
    EXPECT_EQ(used_servers.size(), 19U);
    EXPECT_FALSE(used_servers.contains(endpoint_name(kDrained)));
    return kUndisturbed;
  });
}

// The backoff of a watch that keeps failing stays short enough for a change to arrive within the time that
// the settings allow, whatever came before; and it differs between nodes.
TEST(ScaleGuard, BackoffAfterFailedPollsStaysShortAndJittered) {
  double min_backoff = 1000;
  double max_backoff = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    NodeSetup setup;
    setup.replicas = 8;
    balancer::Settings settings = balancer_settings(setup);
    settings.requires_watch = true;
    settings.poll_within = 6;
    balancer::Balancer balancer(settings, seed);
    for (int i = 0; i < 8; ++i) {
      std::vector<balancer::Action> actions;
      balancer::EndpointUpdate failed;
      failed.form = balancer::EndpointUpdate::Form::kWatchFailed;
      balancer.handle(100, failed, actions);
      ASSERT_EQ(actions.size(), 1U);
      const double backoff = std::get<balancer::SetTimer>(actions[0]).at - 100;
      min_backoff = std::min(min_backoff, backoff);
      max_backoff = std::max(max_backoff, backoff);
    }
  }
  EXPECT_LE(max_backoff, node::discovery::poll_timeouts::kMaxPollDelay);
  EXPECT_GE(min_backoff, node::discovery::poll_timeouts::kMaxPollDelay / 2);
  EXPECT_GE(max_backoff - min_backoff, node::discovery::poll_timeouts::kMaxPollDelay / 3);
}

// A list that cannot be used is polled again after a growing backoff. A busy machine can only lengthen a
// wait, so the minimum holds there too.
TEST_P(ListWatch, UnusableListIsPolledWithGrowingBackoff) {
  constexpr std::size_t kPolls = 5;
  boost::asio::io_context io(1);
  StandInDiscovery discovery(io, 700, kUnusedEndpointPort);
  discovery.set_mode(DiscoveryMode::kCorrupt);
  NodeSetup setup;
  setup.discovery_port = discovery.port();
  setup.list_delivery = GetParam();
  SimulatedNode node(io, config_text(setup));
  node.start();
  run_until(io, kWaitLimit, [&] { return discovery.polled_at().size() >= kPolls; });
  const std::vector<double>& polled_at = discovery.polled_at();
  ASSERT_GE(polled_at.size(), kPolls);
  for (std::size_t i = 0; i + 1 < kPolls; ++i) {
    const double backoff = node::discovery::PollBudget::kInitialBackoff * static_cast<double>(1U << i);
    EXPECT_GE(polled_at[i + 1] - polled_at[i], backoff / 2) << i;
  }
  EXPECT_FALSE(node.has_endpoints());
  discovery.set_mode(DiscoveryMode::kHealthy);
  run_until(io, kWaitLimit, [&] { return node.has_endpoints(); });
  EXPECT_TRUE(node.has_endpoints());
}

}  // namespace
}  // namespace asterdrift::scale
