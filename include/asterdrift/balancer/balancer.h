// The decisions of a load balancer for services that call services.
//
// A Balancer is one replica of the load balancer. It is told what happened (events) and says what to do
// (actions). It has no clock, no I/O, no threads and no globals: the same settings, seed and events always
// give the same actions. All times are seconds on the host's clock, which may start anywhere but never runs
// backwards; all durations are seconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "asterdrift/balancer/actions.h"
#include "asterdrift/balancer/events.h"
#include "asterdrift/balancer/settings.h"

namespace asterdrift::balancer {

// What a replica makes of its endpoint list.
struct EndpointSetView {
  std::size_t listed = 0;       // endpoints on the list, those that are draining included
  std::size_t unavailable = 0;  // of these, not sent to now: draining, or ejected while others are healthy
  std::uint64_t examined = 0;   // endpoint records read since the start, to select one or to apply an update
};

// What can be observed of one tenant's admission.
struct TenantView {
  double rate_limit = 0;          // learned limit, requests per second
  double suppression_factor = 0;  // 0: all admitted, 1: all denied
  double total = 0;               // requests seen in the window
  double declined = 0;            // of these, denied
};

class Balancer {
 public:
  // Throws std::invalid_argument, naming the field, when the settings cannot be used.
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Appends to `actions` what is to be done about `event`, in order.
  void handle(double now, const Event& event, std::vector<Action>& actions);

  // For metrics; change nothing. A tenant out of range stands for traffic without one.
  TenantView tenant(double now, std::size_t tenant) const;
  EndpointSetView endpoints(double now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The fraction of requests to deny, 0 to 1, for a limit and the two rates of the sliding window (all in
// requests per second). Source: Trypema's suppressed strategy.
double suppression_factor(double rate_limit, double window_rate, double last_second_rate);

// The positions, out of `endpoints` in a fixed order, that replica `replica_index` of `replica_count` uses.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count,
                                   std::size_t endpoints, std::size_t size);

}  // namespace asterdrift::balancer
