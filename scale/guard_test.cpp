// Limits on size: counts that no clock and no busy machine can change. What depends on time is a slope.
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
#include "scale/allocations.h"
#include "scale/hollow_node.h"
#include "scale/process.h"
#include "scale/stand_in_discovery.h"

namespace asterdrift::scale {
namespace {
constexpr int kDialPort = 10000;
const std::vector<std::string> kZones = {"a", "b", "c"};
constexpr std::array<std::size_t, 5> kSizes = {7, 70, 700, 7000, 27000};

balancer::Settings settings_for(std::size_t copies, int tier = 1) {
  NodeSetup setup;
  setup.copies = copies;
  setup.tier = tier;
  return node::config::read_config(config_text(setup)).settings;
}

// One discovery and hollow nodes before it, all on one thread. Waits are for events; the limit only ends what
// would hang.
struct Fleet {
  Fleet(std::size_t servers, std::size_t count, bool pushed) : discovery(io, servers, kDialPort) {
    for (std::size_t i = 0; i < count; ++i) {
      NodeSetup setup;
      setup.discovery_port = discovery.port();
      setup.position = i;
      setup.copies = count;
      setup.pushed = pushed;
      setup.seed = i + 1;
      nodes.push_back(std::make_unique<HollowNode>(io, config_text(setup)));
    }
    for (const auto& node : nodes) node->start();
    until([&] { return all_at(discovery.seq()); });
  }

  template <class Condition>
  void until(const Condition& holds) {
    for (const double from = seconds(); !holds();) {
      if (seconds() - from > 60) throw std::runtime_error("it did not come about");
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
  }
  std::uint64_t lost() const {
    std::uint64_t out = 0;
    for (const auto& node : nodes) out += node->counts().failures;
    return out;
  }
  bool all_at(std::uint64_t seq) const {
    return std::all_of(nodes.begin(), nodes.end(), [=](const auto& node) { return node->seq() == seq; });
  }

  boost::asio::io_context io{1};
  StandInDiscovery discovery;
  std::vector<std::unique_ptr<HollowNode>> nodes;
};

std::uint64_t lists(const StandInDiscovery::Counts& counts) { return counts.whole_lists + counts.changes; }

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
      EXPECT_LE(counts.bytes, whole_list(1, servers, kDialPort).size() + 200) << servers;
      EXPECT_EQ(fleet.nodes[0]->counts().whole_lists, 1U) << servers;
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
      fleet.until([&] { return fleet.all_at(fleet.discovery.seq()); });
      const auto after = fleet.discovery.counts();
      if (fleet.lost() > 0) return fleet.lost();
      EXPECT_EQ(after.requests, before.requests) << servers;
      EXPECT_EQ(after.whole_lists, before.whole_lists) << servers;
      EXPECT_EQ(after.changes - before.changes, 20U) << servers;
      EXPECT_LE(after.bytes - before.bytes, 20U * 200) << servers;
      EXPECT_EQ(fleet.nodes[0]->counts().changes, 20U) << servers;
      return std::uint64_t{0};
    });
  }
}

// A node that lost its watch asks for what it has missed, not for everything again.
TEST_P(Start, ALostWatchIsTakenUpWhereItEnded) {
  undisturbed([&] {
    Fleet fleet(27000, 1, GetParam());
    const auto before = fleet.discovery.counts();
    fleet.discovery.set_mode(StandInDiscovery::Mode::kWell);  // ends all that is open
    fleet.discovery.set_draining(3, true);
    fleet.until([&] { return fleet.all_at(fleet.discovery.seq()); });
    const auto after = fleet.discovery.counts();
    if (fleet.lost() > 1) return fleet.lost();
    EXPECT_EQ(after.requests - before.requests, 1U);
    EXPECT_EQ(after.whole_lists, before.whole_lists);
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
    fleet.until([&] { return fleet.all_at(fleet.discovery.seq()); });
    const auto after = fleet.discovery.counts();
    if (fleet.lost() > lost) return fleet.lost();
    EXPECT_EQ(after.requests, before.requests);
    EXPECT_EQ(after.changes - before.changes, fleet.nodes.size());
    std::set<std::string> used;
    std::uint64_t sent = 0;
    for (const auto& node : fleet.nodes) {
      for (int i = 0; i < 10; ++i) used.insert(node->call());
      EXPECT_EQ(node->counts().changes, 1U);
      sent += node->counts().sends;
    }
    EXPECT_EQ(sent, 10 * fleet.nodes.size());
    EXPECT_EQ(used.size(), 19U);
    EXPECT_FALSE(used.contains(server_name(11)));
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
  discovery.set_mode(StandInDiscovery::Mode::kSpoil);
  NodeSetup setup;
  setup.discovery_port = discovery.port();
  setup.pushed = GetParam();
  HollowNode node(io, config_text(setup));
  node.start();
  const auto until = [&](const auto& holds) {
    for (const double from = seconds(); !holds() && seconds() - from < 60;) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
  };
  until([&] { return discovery.asked_at().size() >= 5; });
  const std::vector<double>& asked = discovery.asked_at();
  ASSERT_GE(asked.size(), 5U);
  for (std::size_t i = 0; i + 1 < 5; ++i) {
    const double wait = node::discovery::PollBudget::kFirstBackoff * static_cast<double>(1U << i);
    EXPECT_GE(asked[i + 1] - asked[i], wait / 2) << i;
  }
  EXPECT_FALSE(node.knows_servers());
  discovery.set_mode(StandInDiscovery::Mode::kWell);
  until([&] { return node.knows_servers(); });
  EXPECT_TRUE(node.knows_servers());
}

// The module with a list, its servers well or refusing connections.
struct Module {
  explicit Module(std::size_t servers)
      : list(update_of(node::config::read_endpoint_list(whole_list(1, servers, kDialPort), kZones))),
        balancer(settings_for(servers), 1) {
    actions.reserve(64);
    balancer.handle(now, list, actions);
  }

  // One call; what it has allocated.
  Allocations call() {
    now += 0.003;
    balancer::Request request;
    request.id = std::to_string(++last);
    request.time_left = 5;
    Allocations out = handle(request);
    for (int attempt = 0; !actions.empty(); ++attempt) {
      const auto* send = std::get_if<balancer::SendAttempt>(&actions.back());
      if (send == nullptr) break;
      ++sends;
      if (!learned) subset.insert(send->endpoint);
      const bool fails = learned && ill && subset.contains(send->endpoint);
      const Allocations end = handle(balancer::AttemptResult{
          request.id, attempt, fails ? balancer::Outcome::kConnectFailed : balancer::Outcome::kSuccess, 0.002,
          !fails});
      out.calls += end.calls;
      out.bytes += end.bytes;
    }
    return out;
  }
  Allocations handle(const balancer::Event& event) {
    actions.clear();
    const Allocations before = allocations();
    balancer.handle(now, event, actions);
    const Allocations after = allocations();
    return {after.calls - before.calls, after.bytes - before.bytes, 0, 0};
  }
  Allocations change(std::size_t place, balancer::EndpointState state) {
    balancer::EndpointUpdate one;
    one.form = balancer::EndpointUpdate::Form::kIncremental;
    one.endpoints = {list.endpoints[place]};
    one.endpoints[0].state = state;
    return handle(one);
  }

  balancer::EndpointUpdate list;
  balancer::Balancer balancer;
  std::vector<balancer::Action> actions;
  std::set<std::string> subset;
  bool learned = false, ill = false;
  double now = 100;
  std::uint64_t last = 0, sends = 0;
};

Allocations more(const Allocations& a, const Allocations& b) {
  return {std::max(a.calls, b.calls), std::max(a.bytes, b.bytes), 0, 0};
}

// What a call allocates does not depend on how many servers there are, with the subset well or ill.
TEST(ScaleGuard, ACallAllocatesTheSameAtEachSize) {
  for (const std::size_t servers : kSizes) {
    Module module(servers);
    for (int i = 0; i < 300; ++i) module.call();
    Allocations most;
    module.sends = 0;
    for (int i = 0; i < 300; ++i) most = more(most, module.call());
    EXPECT_LE(most.calls, 8U) << servers;
    EXPECT_LE(most.bytes, 1500U) << servers;
    EXPECT_EQ(module.sends, 300U) << servers;
    module.learned = module.ill = true;
    for (int i = 0; i < 300; ++i) module.call();  // what it looks through grows once
    most = {};
    for (int i = 0; i < 300; ++i) most = more(most, module.call());
    EXPECT_LE(most.calls, 16U) << servers;
    EXPECT_LE(most.bytes, 3000U) << servers;
  }
}

// A change brings about nothing but itself, and costs the same however many servers there are.
TEST(ScaleGuard, AChangeAllocatesLittleAndAsksForNothing) {
  for (const std::size_t servers : kSizes) {
    Module module(servers);
    Allocations most;
    for (std::size_t i = 0; i < 40; ++i) {
      const std::size_t place = i / 2 * 7919 % servers;
      most = more(most, module.change(place, i % 2 == 0 ? balancer::EndpointState::kDraining
                                                        : balancer::EndpointState::kReady));
      EXPECT_TRUE(module.actions.empty()) << servers;
    }
    EXPECT_LE(most.calls, 40U) << servers;
    EXPECT_LE(most.bytes, 2000U) << servers;
  }
}

// Services that call services, each with its balancer; those behind the last one fail with a chance.
struct Chain {
  static constexpr std::uint64_t kMostAttempts = 100000;
  Chain(std::size_t depth, double chance, std::optional<double> allowance, std::uint64_t seed)
      : fails(chance), random(seed) {
    for (std::size_t tier = 0; tier < depth; ++tier) {
      balancer::Settings settings = settings_for(1, static_cast<int>(tier));
      settings.tenants = {balancer::Tenant{allowance}};
      tiers.emplace_back(settings, seed + tier);
      std::vector<balancer::Action> none;
      tiers.back().handle(0, update_of(node::config::read_endpoint_list(whole_list(1, 8, kDialPort), kZones)),
                          none);
    }
  }

  bool call(std::size_t tier) {
    if (tier == tiers.size()) {
      if (++last_attempts > kMostAttempts) throw std::runtime_error("retries without end");
      now += 0.001;
      return unit() >= fails;
    }
    balancer::Request request;
    request.id = std::to_string(++last_id);
    request.time_left = 5;
    balancer::Event event = request;
    for (int attempt = 0;; ++attempt) {
      std::vector<balancer::Action> actions;
      tiers[tier].handle(now, event, actions);
      const bool sent = std::any_of(actions.begin(), actions.end(), [](const balancer::Action& action) {
        return std::holds_alternative<balancer::SendAttempt>(action);
      });
      if (!sent) return false;
      const double from = now;
      const bool served = call(tier + 1);
      const balancer::AttemptResult end{
          request.id, attempt, served ? balancer::Outcome::kSuccess : balancer::Outcome::kServerError,
          now - from, served};
      if (served) {
        actions.clear();
        tiers[tier].handle(now, end, actions);
        return true;
      }
      event = end;
    }
  }
  double unit() {
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(random >> 11) * 0x1.0p-53;
  }

  std::vector<balancer::Balancer> tiers;
  double fails, now = 100;
  std::uint64_t random, last_id = 0, last_attempts = 0;
};

// Attempts at the last tier for each call at the first. A tier's retries are a fifth of its answers: what
// fails for good earns none, at any tier. Earned by calls they were 15 for each call over 28 tiers.
TEST(ScaleGuard, RetriesOverTheTiersStayBounded) {
  struct Case {
    std::optional<double> allowance;  // calls/s; as many come
    std::size_t depth;
    double fails, most;
  };
  for (const Case& c :
       {Case{{}, 8, 0.1, 1.2}, Case{{}, 28, 0.1, 1.2}, Case{{}, 8, 0.5, 2.1}, Case{{}, 28, 0.5, 2.1},
        Case{{}, 8, 1, 1.2}, Case{{}, 28, 1, 1.2}, Case{100, 8, 0.1, 1.2}, Case{100, 28, 0.1, 1.2},
        Case{100, 8, 0.5, 2.1}, Case{100, 28, 0.5, 2.1}, Case{100, 8, 1, 1.2}, Case{100, 28, 1, 1.2}}) {
    for (std::uint64_t seed = 1; seed <= 1; ++seed) {
      Chain chain(c.depth, c.fails, c.allowance, seed);
      constexpr int kCalls = 1000;
      int served = 0;
      for (int i = 0; i < kCalls; ++i) {
        chain.now += 0.01;
        served += chain.call(0) ? 1 : 0;
      }
      const double attempts = static_cast<double>(chain.last_attempts) / kCalls;
      std::printf("allowance %s, %zu tiers, %.1f fail, seed %d: %.2f attempts a call, %.2f served\n",
                  c.allowance ? "100" : "none", c.depth, c.fails, static_cast<int>(seed), attempts,
                  static_cast<double>(served) / kCalls);
      EXPECT_LE(attempts, c.most);
    }
  }
}

}  // namespace
}  // namespace asterdrift::scale
