// A limit on retries across tiers: a count that no clock and no busy machine can change.
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

// More attempts at the last tier than any bounded number of retries causes.
class UnboundedRetriesError : public std::runtime_error {
 public:
  explicit UnboundedRetriesError(std::uint64_t attempts)
      : std::runtime_error(std::to_string(attempts) + " attempts at the last tier") {}
};

// Services that call services, each with its balancer; servers behind the last one fail at random.
class TierChain {
 public:
  struct Setup {
    std::size_t tiers = 0;
    double failure_probability = 0;
    std::optional<double> tenant_quota;  // requests per second
    std::uint64_t seed = 1;
  };

  explicit TierChain(const Setup& setup) : setup_(setup), random_(setup.seed) {
    for (std::size_t tier = 0; tier < setup.tiers; ++tier) {
      NodeSetup node;
      node.tier = static_cast<int>(tier);
      balancer::Settings settings = balancer_settings(node);
      settings.tenants = {balancer::Tenant{setup.tenant_quota}};
      balancers_.emplace_back(settings, setup.seed + tier);
      std::vector<balancer::Action> actions;
      balancers_.back().handle(0, snapshot_update(kServersPerTier), actions);
    }
  }

  // Sends one request to the first tier. Returns whether it succeeds.
  bool send_request() {
    now_ += kRequestPeriod;
    return handle_request(0);
  }

  std::uint64_t last_tier_attempts() const { return last_tier_attempts_; }

 private:
  static constexpr std::uint64_t kMaxAttempts = 100000;
  static constexpr std::size_t kServersPerTier = 8;
  static constexpr double kRequestPeriod = 0.01;   // s
  static constexpr double kServerLatency = 0.001;  // s

  bool handle_request(std::size_t tier) {
    if (tier == balancers_.size()) return handle_at_server();
    balancer::Request request;
    request.id = std::to_string(++last_request_);
    request.time_left = 5;
    balancer::Event event = request;
    for (int attempt = 0; sends_attempt(tier, event); ++attempt) {
      const double sent_at = now_;
      const bool is_success = handle_request(tier + 1);
      const auto outcome = is_success ? balancer::Outcome::kSuccess : balancer::Outcome::kServerError;
      event = balancer::AttemptResult{request.id, attempt, outcome, now_ - sent_at, is_success};
      if (!is_success) continue;
      sends_attempt(tier, event);
      return true;
    }
    return false;
  }

  bool handle_at_server() {
    if (++last_tier_attempts_ > kMaxAttempts) throw UnboundedRetriesError(last_tier_attempts_);
    now_ += kServerLatency;
    return random_fraction() >= setup_.failure_probability;
  }

  // Whether the tier's balancer sends an attempt upon the event.
  bool sends_attempt(std::size_t tier, const balancer::Event& event) {
    std::vector<balancer::Action> actions;
    balancers_[tier].handle(now_, event, actions);
    return std::any_of(actions.begin(), actions.end(), [](const balancer::Action& action) {
      return std::holds_alternative<balancer::SendAttempt>(action);
    });
  }

  // From 0 to 1.
  double random_fraction() {
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(random_ >> 11) * 0x1.0p-53;
  }

  Setup setup_;
  std::vector<balancer::Balancer> balancers_;  // by tier
  double now_ = 100;                           // s
  std::uint64_t random_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_tier_attempts_ = 0;
};

// Attempts at the last tier for each request at the first. A tier earns its retries by responses: what keeps
// failing earns none, at any tier.
TEST(ScaleGuard, RetriesAcrossTiersStayBounded) {
  struct Case {
    std::optional<double> tenant_quota;  // requests per second; as many are sent
    std::size_t tiers;
    double failure_probability;
    double max_attempts;  // for each request
  };
  const Case cases[] = {{{}, 8, 0.1, 1.2},  {{}, 28, 0.1, 1.2},  {{}, 8, 0.5, 2.1},  {{}, 28, 0.5, 2.1},
                        {{}, 8, 1, 1.2},    {{}, 28, 1, 1.2},    {100, 8, 0.1, 1.2}, {100, 28, 0.1, 1.2},
                        {100, 8, 0.5, 2.1}, {100, 28, 0.5, 2.1}, {100, 8, 1, 1.2},   {100, 28, 1, 1.2}};
  constexpr std::uint64_t kSeed = 1;
  constexpr int kRequests = 1000;
  for (const auto& [tenant_quota, tiers, failure_probability, max_attempts] : cases) {
    TierChain chain({tiers, failure_probability, tenant_quota, kSeed});
    int successes = 0;
    for (int i = 0; i < kRequests; ++i) successes += chain.send_request() ? 1 : 0;
    const double attempts = static_cast<double>(chain.last_tier_attempts()) / kRequests;
    std::printf("quota %s, %zu tiers, %.1f fail, seed %d: %.2f attempts for each request, %.2f succeed\n",
                tenant_quota ? "100" : "none", tiers, failure_probability, static_cast<int>(kSeed), attempts,
                static_cast<double>(successes) / kRequests);
    EXPECT_LE(attempts, max_attempts);
  }
}

}  // namespace
}  // namespace asterdrift::scale
