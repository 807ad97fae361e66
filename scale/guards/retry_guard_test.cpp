// A guard that limits retries across tiers. The count of attempts is deterministic: neither the clock nor
// other load on the machine changes it.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "scale/stand_ins/endpoint_updates.h"
#include "scale/stand_ins/node_setup.h"

namespace asterdrift::scale {
namespace {

// Thrown when there are more attempts at the last tier than any bounded number of retries causes.
class UnboundedRetriesError : public std::runtime_error {
 public:
  explicit UnboundedRetriesError(std::uint64_t attempts)
      : std::runtime_error(std::to_string(attempts) + " attempts at the last tier") {}
};

// A chain of services: the service of each tier has a balancer and calls the service of the next tier. The
// servers behind the last tier's balancer fail at random.
class TierChain {
 public:
  struct Setup {
    std::size_t tiers = 0;
    double failure_probability = 0;
    std::optional<double> quota_requests_per_second;  // quota of the tenant; empty if there is none
    std::uint64_t seed = 1;
  };

  explicit TierChain(const Setup& setup) : setup_(setup), random_(setup.seed) {
    for (std::size_t tier = 0; tier < setup.tiers; ++tier) {
      NodeSetup node;
      node.tier = static_cast<int>(tier);
      balancer::Settings settings = balancer_settings(node);
      settings.tenants = {balancer::Tenant{setup.quota_requests_per_second}};
      balancers_.emplace_back(settings, setup.seed + tier);
      std::vector<balancer::Action> actions;
      balancers_.back().handle(0, snapshot_update(kServersPerTier), actions);
    }
  }

  // Sends one request to the first tier. Returns whether the request succeeds.
  bool send_request() {
    now_ += kRequestPeriod;
    return handle_request(0);
  }

  std::uint64_t last_tier_attempts() const { return last_tier_attempts_; }

 private:
  static constexpr std::uint64_t kMaxLastTierAttempts = 100000;
  static constexpr std::size_t kServersPerTier = 8;
  static constexpr Seconds kRequestPeriod = 0.01;
  static constexpr Seconds kServerLatency = 0.001;

  bool handle_request(std::size_t tier) {
    if (tier == balancers_.size()) return handle_at_server();
    balancer::Request request;
    request.id = std::to_string(++last_request_);
    request.time_left = 5;
    balancer::Event event = request;
    for (int attempt = 0; handle_event(tier, event); ++attempt) {
      const Seconds sent_at = now_;
      const bool is_success = handle_request(tier + 1);
      const auto outcome = is_success ? balancer::Outcome::kSuccess : balancer::Outcome::kServerError;
      event = balancer::AttemptResult{request.id, attempt, outcome, now_ - sent_at, is_success};
      if (!is_success) continue;
      handle_event(tier, event);
      return true;
    }
    return false;
  }

  bool handle_at_server() {
    if (++last_tier_attempts_ > kMaxLastTierAttempts) throw UnboundedRetriesError(last_tier_attempts_);
    now_ += kServerLatency;
    return random_fraction() >= setup_.failure_probability;
  }

  // Passes the event to the tier's balancer. Returns whether the balancer sends an attempt then.
  bool handle_event(std::size_t tier, const balancer::Event& event) {
    std::vector<balancer::Action> actions;
    balancers_[tier].handle(now_, event, actions);
    return std::any_of(actions.begin(), actions.end(), [](const balancer::Action& action) {
      return std::holds_alternative<balancer::SendAttempt>(action);
    });
  }

  // A uniformly distributed number, at least 0 and less than 1.
  double random_fraction() {
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(random_ >> 11) * 0x1.0p-53;
  }

  Setup setup_;
  std::vector<balancer::Balancer> balancers_;  // one balancer for each tier, in the order of the tiers
  Seconds now_ = 100;
  std::uint64_t random_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_tier_attempts_ = 0;
};

// Limits the attempts at the last tier for each request at the first tier. A tier's retry budget grows with
// its successful responses, so requests that keep failing add nothing to the budget of any tier.
TEST(ScaleGuard, RetriesAcrossTiersStayBounded) {
  struct Case {
    // Quota of the tenant, equal to the rate of the requests; empty if the tenant has no quota.
    std::optional<double> quota_requests_per_second;
    std::size_t tiers;
    double failure_probability;
    double max_attempts_per_request;  // limit on the attempts at the last tier for each request
  };
  const Case cases[] = {{{}, 8, 0.1, 1.2},  {{}, 28, 0.1, 1.2},  {{}, 8, 0.5, 2.1},  {{}, 28, 0.5, 2.1},
                        {{}, 8, 1, 1.2},    {{}, 28, 1, 1.2},    {100, 8, 0.1, 1.2}, {100, 28, 0.1, 1.2},
                        {100, 8, 0.5, 2.1}, {100, 28, 0.5, 2.1}, {100, 8, 1, 1.2},   {100, 28, 1, 1.2}};
  constexpr std::uint64_t kSeed = 1;
  constexpr int kRequests = 1000;
  for (const auto& [quota, tiers, failure_probability, max_attempts_per_request] : cases) {
    TierChain chain({tiers, failure_probability, quota, kSeed});
    int successes = 0;
    for (int i = 0; i < kRequests; ++i) successes += chain.send_request() ? 1 : 0;
    const double attempts_per_request = static_cast<double>(chain.last_tier_attempts()) / kRequests;
    std::printf("quota %s, %zu tiers, %.1f fail, seed %d: %.2f attempts for each request, %.2f succeed\n",
                quota ? "100" : "none", tiers, failure_probability, static_cast<int>(kSeed),
                attempts_per_request, static_cast<double>(successes) / kRequests);
    EXPECT_LE(attempts_per_request, max_attempts_per_request);
  }
}

}  // namespace
}  // namespace asterdrift::scale
