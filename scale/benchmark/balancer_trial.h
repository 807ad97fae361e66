// Measures the processor time of a balancer's requests in simulated time: each attempt ends with an event.
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

// The state of the endpoints in the balancer's subset during the measurement.
enum class SubsetState {
  kHealthy,
  kUnreachable,  // the endpoints refuse connections
  kSlowStart,    // the endpoints have just started
  kAtCapacity    // tier 0; the endpoints' latency is 1.7 times the usual one
};

// Sends requests to one balancer at a constant rate, simulates the endpoints' responses, and measures the
// processor time of the balancer's calls.
class BalancerTrial {
 public:
  struct Setup {
    std::size_t servers = 0;
    std::size_t replicas = 1;
    double requests_per_second = 0;
    SubsetState subset_state = SubsetState::kHealthy;
  };
  struct Result {
    // The processor time of each request, with the results of its attempts; in ascending order.
    std::vector<Seconds> costs;
    std::size_t requests = 0;
    std::size_t rejected = 0;
    std::size_t subset_size = 0;
  };

  explicit BalancerTrial(const Setup& setup);

  // Sends and measures `requests` requests, or fewer if these take more than 8 s of processor time.
  Result run(std::size_t requests);

 private:
  struct AttemptEnd {
    Seconds ends_at;
    balancer::AttemptResult result;
    bool operator>(const AttemptEnd& other) const { return ends_at > other.ends_at; }
  };

  void warm_up();
  void degrade_subset();
  // Returns the processor time of the balancer's call.
  Seconds handle(const balancer::Event& event);
  void send_request();
  void end_next_attempt();
  void end_all_attempts();
  void carry_out_actions();
  void start_attempt(const balancer::SendAttempt& send);

  SubsetState subset_state_;
  Seconds request_period_;
  Seconds now_ = 100;
  Seconds last_event_at_ = 100;
  balancer::Balancer balancer_;
  balancer::EndpointUpdate list_;
  std::set<std::string> subset_;     // endpoints that got attempts during the warm-up
  bool is_subset_degraded_ = false;  // true once the warm-up is over
  std::priority_queue<AttemptEnd, std::vector<AttemptEnd>, std::greater<>> attempt_ends_;
  // Processor time of each request, by the request's id.
  std::unordered_map<std::string, Seconds> costs_;
  // Number of attempts sent so far for each request, by the request's id.
  std::unordered_map<std::string, int> attempts_;
  std::vector<balancer::Action> actions_;  // caused by the last event
  std::uint64_t last_request_ = 0;
  std::size_t rejected_ = 0;
};

}  // namespace asterdrift::scale
