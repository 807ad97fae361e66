// Guards that limit the balancer's allocations. The counts are deterministic: neither the clock nor other
// load on the machine changes them.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "scale/measurement/allocations.h"
#include "scale/stand_ins/endpoint_updates.h"
#include "scale/stand_ins/node_setup.h"

namespace asterdrift::scale {
namespace {

constexpr std::array<std::size_t, 5> kListSizes = {7, 70, 700, 7000, 27000};

balancer::Settings settings_with_replicas(std::size_t replicas) {
  NodeSetup setup;
  setup.replicas = replicas;
  return balancer_settings(setup);
}

Allocations sum(const Allocations& first, const Allocations& second) {
  return {first.count + second.count, first.bytes + second.bytes, 0, 0};
}

Allocations max(const Allocations& first, const Allocations& second) {
  return {std::max(first.count, second.count), std::max(first.bytes, second.bytes), 0, 0};
}

// A balancer that has an endpoint list. Its attempts succeed until make_subset_unreachable() is called; from
// then on, attempts to the endpoints of the subset fail to connect.
class BalancerWithEndpointList {
 public:
  explicit BalancerWithEndpointList(std::size_t servers)
      : list_(snapshot_update(servers)), balancer_(settings_with_replicas(servers), 1) {
    actions_.reserve(64);
    balancer_.handle(now_, list_, actions_);
  }

  // Handles one request and the results of its attempts. Returns the allocations of the balancer's calls.
  Allocations handle_request() {
    now_ += kRequestPeriod;
    balancer::Request request;
    request.id = std::to_string(++last_request_);
    request.time_left = 5;
    Allocations total = handle(request);
    for (int attempt = 0; !actions_.empty(); ++attempt) {
      const auto* send = std::get_if<balancer::SendAttempt>(&actions_.back());
      if (send == nullptr) break;
      ++attempts_;
      if (!is_subset_unreachable_) subset_.insert(send->endpoint);
      const bool fails = is_subset_unreachable_ && subset_.contains(send->endpoint);
      const auto outcome = fails ? balancer::Outcome::kConnectFailed : balancer::Outcome::kSuccess;
      total = sum(total, handle(balancer::AttemptResult{request.id, attempt, outcome, 0.002, !fails}));
    }
    return total;
  }

  // Handles `requests` requests. Returns the maximum number and the maximum bytes of the allocations for one
  // request.
  Allocations handle_requests(int requests) {
    Allocations maximum;
    for (int i = 0; i < requests; ++i) maximum = max(maximum, handle_request());
    return maximum;
  }

  // Applies an incremental list that sets the state of one endpoint. Returns the allocations of that.
  Allocations change_endpoint_state(std::size_t index, balancer::EndpointState state) {
    balancer::EndpointUpdate update;
    update.form = balancer::EndpointUpdate::Form::kIncremental;
    update.endpoints = {list_.endpoints[index]};
    update.endpoints[0].state = state;
    return handle(update);
  }

  void make_subset_unreachable() { is_subset_unreachable_ = true; }
  std::uint64_t attempts() const { return attempts_; }
  const std::vector<balancer::Action>& actions() const { return actions_; }

 private:
  static constexpr Seconds kRequestPeriod = 0.003;

  Allocations handle(const balancer::Event& event) {
    actions_.clear();
    const Allocations before = allocations();
    balancer_.handle(now_, event, actions_);
    const Allocations after = allocations();
    return {after.count - before.count, after.bytes - before.bytes, 0, 0};
  }

  Seconds now_ = 100;
  balancer::EndpointUpdate list_;
  balancer::Balancer balancer_;
  std::vector<balancer::Action> actions_;  // caused by the last event
  std::set<std::string> subset_;           // endpoints that got attempts while all endpoints were healthy
  bool is_subset_unreachable_ = false;
  std::uint64_t last_request_ = 0;
  std::uint64_t attempts_ = 0;
};

// The allocations for a request have the same limits at every number of servers, both when the subset is
// healthy and when it is unreachable.
TEST(ScaleGuard, RequestAllocatesTheSameAtEveryListSize) {
  for (const std::size_t servers : kListSizes) {
    BalancerWithEndpointList balancer(servers);
    balancer.handle_requests(300);
    const std::uint64_t attempts_before = balancer.attempts();
    const Allocations healthy = balancer.handle_requests(300);
    EXPECT_LE(healthy.count, 8U) << servers;
    EXPECT_LE(healthy.bytes, 1500U) << servers;
    EXPECT_EQ(balancer.attempts() - attempts_before, 300U) << servers;
    balancer.make_subset_unreachable();
    balancer.handle_requests(300);  // lets the buffer of candidates grow to its final size
    const Allocations unreachable = balancer.handle_requests(300);
    EXPECT_LE(unreachable.count, 16U) << servers;
    EXPECT_LE(unreachable.bytes, 3000U) << servers;
  }
}

// A change of one endpoint's state causes no action, and its allocations have the same limits at every number
// of servers.
TEST(ScaleGuard, ChangeAllocatesLittleAndCausesNoAction) {
  for (const std::size_t servers : kListSizes) {
    BalancerWithEndpointList balancer(servers);
    Allocations maximum;
    for (std::size_t i = 0; i < 40; ++i) {
      const std::size_t index = i / 2 * 7919 % servers;
      const auto state = i % 2 == 0 ? balancer::EndpointState::kDraining : balancer::EndpointState::kReady;
      maximum = max(maximum, balancer.change_endpoint_state(index, state));
      EXPECT_TRUE(balancer.actions().empty()) << servers;
    }
    EXPECT_LE(maximum.count, 40U) << servers;
    EXPECT_LE(maximum.bytes, 2000U) << servers;
  }
}

}  // namespace
}  // namespace asterdrift::scale
