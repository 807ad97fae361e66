// The decisions of a load balancer for services that call services.
//
// A Balancer is one replica of the load balancer. It receives events and returns actions. It has no clock, no
// I/O, no threads and no globals: the same settings, seed and events always give the same actions. All times
// are seconds on the host's clock, which may start anywhere but never runs backwards; all durations are
// seconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "asterdrift/balancer/actions.h"
#include "asterdrift/balancer/events.h"
#include "asterdrift/balancer/settings.h"

namespace asterdrift::balancer {

// Metrics of a replica's endpoints.
struct EndpointSetView {
  std::size_t listed = 0;       // endpoints on the list, including those that are draining
  std::size_t unavailable = 0;  // listed but not used: draining, or ejected while others are healthy
  std::uint64_t examined = 0;   // endpoint records read since the start, for selections and updates
};

// Metrics of one tenant's admission control.
struct TenantView {
  double rate_limit = 0;          // learned limit, requests per second
  double suppression_factor = 0;  // 0: all admitted, 1: all denied
  double total = 0;               // requests in the sliding window
  double declined = 0;            // denied requests in the sliding window
};

// All decisions of one replica.
class Balancer {
 public:
  // Throws std::invalid_argument, naming the field, when the settings cannot be used.
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Handles an event, and appends the actions to take to `actions`, in order.
  void handle(double now, const Event& event, std::vector<Action>& actions);

  // For metrics; without side effects. A tenant out of range stands for traffic without a tenant.
  TenantView tenant(double now, std::size_t tenant) const;
  EndpointSetView endpoints(double now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The fraction of requests to deny, 0 to 1, for a limit and the two rates of the sliding window (all in
// requests per second). Source: Trypema's suppressed strategy.
double suppression_factor(double rate_limit, double window_rate, double last_second_rate);

// The subset of replica `replica_index` of `replica_count`: `size` positions in an order of `endpoints`
// endpoints that is the same for all replicas.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count,
                                   std::size_t endpoints, std::size_t size);

}  // namespace asterdrift::balancer
