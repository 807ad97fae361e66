// Limits on what the decision module allocates and how often it retries: counts that no clock can change.
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
constexpr std::array<std::size_t, 5> kSizes = {7, 70, 700, 7000, 27000};

balancer::Settings settings_for(std::size_t copies, int tier = 1) {
  NodeSetup setup;
  setup.replicas = copies;
  setup.tier = tier;
  return node::config::read_config(config_text(setup)).settings;
}

// The module with a list, its servers well or refusing connections.
struct Module {
  explicit Module(std::size_t servers)
      : list(to_endpoint_update(
            node::config::read_endpoint_list(snapshot_text(1, servers, kDialPort), kZones))),
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
      out.count += end.count;
      out.bytes += end.bytes;
    }
    return out;
  }
  Allocations handle(const balancer::Event& event) {
    actions.clear();
    const Allocations before = allocations();
    balancer.handle(now, event, actions);
    const Allocations after = allocations();
    return {after.count - before.count, after.bytes - before.bytes, 0, 0};
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
  return {std::max(a.count, b.count), std::max(a.bytes, b.bytes), 0, 0};
}

// What a call allocates does not depend on how many servers there are, with the subset well or ill.
TEST(ScaleGuard, ACallAllocatesTheSameAtEachSize) {
  for (const std::size_t servers : kSizes) {
    Module module(servers);
    for (int i = 0; i < 300; ++i) module.call();
    Allocations most;
    module.sends = 0;
    for (int i = 0; i < 300; ++i) most = more(most, module.call());
    EXPECT_LE(most.count, 8U) << servers;
    EXPECT_LE(most.bytes, 1500U) << servers;
    EXPECT_EQ(module.sends, 300U) << servers;
    module.learned = module.ill = true;
    for (int i = 0; i < 300; ++i) module.call();  // what it looks through grows once
    most = {};
    for (int i = 0; i < 300; ++i) most = more(most, module.call());
    EXPECT_LE(most.count, 16U) << servers;
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
    EXPECT_LE(most.count, 40U) << servers;
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
      tiers.back().handle(
          0, to_endpoint_update(node::config::read_endpoint_list(snapshot_text(1, 8, kDialPort), kZones)),
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
