// Guards that limit the polls of discovery, and the lists and bytes that discovery sends. Each is a count or
// a minimum that holds on a busy machine too.
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

// Names the parameter in the names of parameterized tests.
std::ostream& operator<<(std::ostream& out, ListDelivery list_delivery) {
  return out << (list_delivery == ListDelivery::kPushed ? "Pushed" : "Subscribed");
}

namespace {

constexpr Seconds kWaitLimit = 60;  // only ends a test that would otherwise hang
constexpr std::uint64_t kNoLostWatches = 0;
constexpr std::size_t kListSizes[] = {7, 27000};

// Runs `trial` again until it loses no watch. A watch is lost when a busy machine suspends the process for
// longer than the watch's timeout; the counts of such a trial say nothing about the node. `trial` returns 0
// unless it lost a watch that it did not close itself.
void repeat_until_no_watch_is_lost(const std::function<std::uint64_t()>& trial) {
  constexpr int kTrials = 20;
  for (int i = 0; i < kTrials; ++i) {
    if (trial() == kNoLostWatches || ::testing::Test::HasFailure()) return;
  }
  FAIL() << "watches were lost in each of " << kTrials << " trials";
}

class ListWatch : public ::testing::TestWithParam<ListDelivery> {};
INSTANTIATE_TEST_SUITE_P(ScaleGuard, ListWatch,
                         ::testing::Values(ListDelivery::kSubscribed, ListDelivery::kPushed),
                         [](const auto& info) { return ::testing::PrintToString(info.param); });

// A node that starts polls one snapshot, and discovery sends at most 200 bytes more than the snapshot's text.
TEST_P(ListWatch, StartPollsOneSnapshot) {
  for (const std::size_t servers : kListSizes) {
    repeat_until_no_watch_is_lost([&] {
      PollingFleet fleet(servers, 1, GetParam());
      const DiscoveryCounts counts = fleet.discovery().counts();
      if (fleet.failed_watches() > 0) return fleet.failed_watches();
      EXPECT_EQ(counts.connections, 1U) << servers;
      EXPECT_EQ(counts.requests, 1U) << servers;
      EXPECT_EQ(counts.lists(), 1U) << servers;
      EXPECT_LE(counts.bytes, snapshot_text(1, servers, kUnusedEndpointPort).size() + 200) << servers;
      EXPECT_EQ(fleet.nodes()[0]->counts().snapshots, 1U) << servers;
      return kNoLostWatches;
    });
  }
}

// Discovery sends each change once, as an incremental list. The change causes no poll and no snapshot.
TEST_P(ListWatch, ChangeCausesNoPollAndNoSnapshot) {
  for (const std::size_t servers : kListSizes) {
    repeat_until_no_watch_is_lost([&] {
      PollingFleet fleet(servers, 1, GetParam());
      const DiscoveryCounts before = fleet.discovery().counts();
      for (std::size_t i = 0; i < 20; ++i) fleet.discovery().set_draining(i % servers, i % 2 == 0);
      fleet.wait_until_all_have_latest_list();
      const DiscoveryCounts after = fleet.discovery().counts();
      if (fleet.failed_watches() > 0) return fleet.failed_watches();
      EXPECT_EQ(after.requests, before.requests) << servers;
      EXPECT_EQ(after.snapshots, before.snapshots) << servers;
      EXPECT_EQ(after.incremental_lists - before.incremental_lists, 20U) << servers;
      EXPECT_LE(after.bytes - before.bytes, 20U * 200) << servers;
      EXPECT_EQ(fleet.nodes()[0]->counts().incremental_lists, 20U) << servers;
      return kNoLostWatches;
    });
  }
}

// A node that lost its watch polls the changes since its last version instead of a snapshot.
TEST_P(ListWatch, LostWatchResumesFromItsVersion) {
  repeat_until_no_watch_is_lost([&] {
    PollingFleet fleet(27000, 1, GetParam());
    const DiscoveryCounts before = fleet.discovery().counts();
    fleet.discovery().set_mode(
        DiscoveryMode::kHealthy);  // closes the open connections, and with them the watch
    fleet.discovery().set_draining(3, true);
    fleet.wait_until_all_have_latest_list();
    const DiscoveryCounts after = fleet.discovery().counts();
    if (fleet.failed_watches() > 1) return fleet.failed_watches();
    EXPECT_EQ(after.requests - before.requests, 1U);
    EXPECT_EQ(after.snapshots, before.snapshots);
    EXPECT_LE(after.bytes - before.bytes, 400U);
    return kNoLostWatches;
  });
}

// Discovery sends a change once to each node of a fleet. Each node applies the change, and sends no request
// to the draining server.
TEST(ScaleGuard, ChangeIsSentOnceToEachOfManyNodes) {
  repeat_until_no_watch_is_lost([] {
    constexpr std::size_t kDrainingServer = 11;
    PollingFleet fleet(20, 300, ListDelivery::kPushed);
    const DiscoveryCounts before = fleet.discovery().counts();
    // At the start, watches can fail because all nodes share one thread.
    const std::uint64_t failed_at_start = fleet.failed_watches();
    fleet.discovery().set_draining(kDrainingServer, true);
    fleet.wait_until_all_have_latest_list();
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
    EXPECT_FALSE(used_servers.contains(endpoint_name(kDrainingServer)));
    return kNoLostWatches;
  });
}

// However often a watch has failed before, its backoff stays short enough for a change to arrive within the
// time that the settings allow. The backoff is jittered, so it differs between nodes.
TEST(ScaleGuard, BackoffAfterFailedPollsStaysShortAndJittered) {
  constexpr Seconds kNow = 100;
  Seconds min_backoff = 1000;
  Seconds max_backoff = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    NodeSetup setup;
    setup.replicas = 8;
    balancer::Settings settings = balancer_settings(setup);
    settings.requires_watch = true;
    settings.poll_within = 6;
    balancer::Balancer balancer(settings, seed);
    for (int i = 0; i < 8; ++i) {
      std::vector<balancer::Action> actions;
      balancer::EndpointUpdate watch_failure;
      watch_failure.form = balancer::EndpointUpdate::Form::kWatchFailed;
      balancer.handle(kNow, watch_failure, actions);
      ASSERT_EQ(actions.size(), 1U);
      const Seconds backoff = std::get<balancer::SetTimer>(actions[0]).at - kNow;
      min_backoff = std::min(min_backoff, backoff);
      max_backoff = std::max(max_backoff, backoff);
    }
  }
  EXPECT_LE(max_backoff, node::discovery::poll_timeouts::kMaxPollDelay);
  EXPECT_GE(min_backoff, node::discovery::poll_timeouts::kMaxPollDelay / 2);
  EXPECT_GE(max_backoff - min_backoff, node::discovery::poll_timeouts::kMaxPollDelay / 3);
}

// A node that gets an unusable list polls again after a backoff that doubles each time. A busy machine can
// only lengthen the time between two polls, so the minimum holds there too.
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
  const std::vector<Seconds>& polled_at = discovery.polled_at();
  ASSERT_GE(polled_at.size(), kPolls);
  for (std::size_t i = 0; i + 1 < kPolls; ++i) {
    const Seconds backoff = node::discovery::PollBudget::kInitialBackoff * static_cast<double>(1U << i);
    EXPECT_GE(polled_at[i + 1] - polled_at[i], backoff / 2) << i;
  }
  EXPECT_FALSE(node.has_endpoints());
  discovery.set_mode(DiscoveryMode::kHealthy);
  run_until(io, kWaitLimit, [&] { return node.has_endpoints(); });
  EXPECT_TRUE(node.has_endpoints());
}

}  // namespace
}  // namespace asterdrift::scale
