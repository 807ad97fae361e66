// A balancer under load, in a simulated time: each attempt ends by an event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "asterdrift/balancer/balancer.h"

namespace asterdrift::scale {

// The state of the subset's endpoints during the measurement.
enum class SubsetState {
  kHealthy,
  kUnreachable,  // they refuse connections
  kSlowStart,    // they have just started
  kAtCapacity    // tier 0; they respond 1.7 times as slowly as before
};

// Measures the processor time of one balancer's requests.
class BalancerTrial {
 public:
  struct Setup {
    std::size_t servers = 0;
    std::size_t replicas = 1;
    double requests_per_second = 0;
    SubsetState subset_state = SubsetState::kHealthy;
  };
  struct Result {
    std::vector<double> costs;  // s of processor time, ascending: each request and the ends of its attempts
    std::size_t requests = 0;
    std::size_t rejected = 0;
    std::size_t subset_size = 0;
  };

  explicit BalancerTrial(const Setup& setup);

  // Sends so many requests, fewer where they take too long.
  Result run(std::size_t requests);

 private:
  struct AttemptEnd {
    double at;
    balancer::AttemptResult result;
    bool operator>(const AttemptEnd& other) const { return at > other.at; }
  };

  void warm_up();
  void degrade_subset();
  double handle(const balancer::Event& event);
  void send_request();
  void end_next_attempt();
  void end_all_attempts();
  void carry_out_actions();
  void start_attempt(const balancer::SendAttempt& send);

  SubsetState subset_state_;
  double period_;               // s between two requests
  double now_ = 100;            // s
  double last_event_at_ = 100;  // s
  balancer::Balancer balancer_;
  balancer::EndpointUpdate list_;
  std::set<std::string> subset_;     // endpoints that the warm-up used
  bool is_subset_degraded_ = false;  // the warm-up is over
  std::priority_queue<AttemptEnd, std::vector<AttemptEnd>, std::greater<>> attempt_ends_;
  std::unordered_map<std::string, double> costs_;  // by request
  std::unordered_map<std::string, int> attempts_;  // by request
  std::vector<balancer::Action> actions_;          // of the last event
  std::uint64_t last_request_ = 0;
  std::size_t rejected_ = 0;
};

}  // namespace asterdrift::scale
