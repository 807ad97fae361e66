// The decisions of a load balancer for services that call services.
//
// A Balancer is one replica of the load balancer. It receives events and returns actions. It has no clock, no
// I/O, no threads and no global variables: the same settings, seed and events always give the same actions.
// All times are on the host's clock, which may start at any value but never runs backwards.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "asterdrift/balancer/actions.h"
#include "asterdrift/balancer/events.h"
#include "asterdrift/balancer/settings.h"
#include "asterdrift/seconds.h"

namespace asterdrift::balancer {

// Metrics of the endpoints that a replica knows.
struct EndpointMetrics {
  std::size_t listed = 0;          // endpoints on the list, including those that are draining
  std::size_t unavailable = 0;     // listed but not used: draining, or ejected while others are healthy
  std::uint64_t records_read = 0;  // endpoint records read since the start, for selections and updates
};

// Metrics of the admission control of one tenant.
struct TenantMetrics {
  double rate_limit = 0;          // learned limit, in requests per second
  double suppression_factor = 0;  // fraction of requests to reject; 0: all are admitted, 1: all are rejected
  double requests_in_window = 0;  // requests in the sliding window, including those that were rejected
  double rejected_in_window = 0;  // requests in the sliding window that admission control rejected
};

// Makes all decisions of one replica.
class Balancer {
 public:
  // Throws std::invalid_argument, naming the field, when the settings cannot be used.
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Handles an event, and appends the actions that the host has to execute to `actions`, in order.
  void handle(Seconds now, const Event& event, std::vector<Action>& actions);

  // Metrics; reading them has no side effects. A tenant index out of range stands for traffic without a
  // tenant.
  TenantMetrics tenant_metrics(Seconds now, std::size_t tenant) const;
  EndpointMetrics endpoint_metrics(Seconds now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The fraction of requests to reject, from 0 to 1, given a limit and the two rates of the sliding window (all
// in requests per second). Source: Trypema's suppressed strategy.
double suppression_factor(double rate_limit, double window_rate, double last_second_rate);

// The subset of replica `replica_index` of `replica_count` replicas. The result contains positions in a list
// of `endpoints` endpoints, whose order is the same at all replicas: `size` positions, or all if there are
// fewer.
std::vector<std::size_t> subset_positions(std::size_t replica_index, std::size_t replica_count,
                                          std::size_t endpoints, std::size_t size);

}  // namespace asterdrift::balancer
