// The clients of a simulated fleet: requests that arrive at random, and clients that retry.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "asterdrift/balancer/settings.h"
#include "support/event_queue.h"
#include "support/simulated_fleet/fleet_scenario.h"
#include "support/simulated_fleet/simulation_random.h"

namespace asterdrift::balancer {

// One request of a client; its retries count as the same request.
struct ClientRequest {
  double work = 0;      // relative to the mean
  double deadline = 0;  // when the client gives up
  int tries = 0;        // so far
  std::size_t tenant = 0;
  std::size_t request_class = 0;
};

// Schedules arrivals and retries on the event queue.
class ClientTraffic {
 public:
  // Of Settings::classes: one with an idempotency key, and one that is not idempotent.
  static constexpr std::size_t kKeyedClass = 0;
  static constexpr std::size_t kNonIdempotentClass = 1;
  static constexpr double kFirstTenantShare = 0.66;  // of the requests and of the quotas
  static constexpr double kSecondTenantShare = 0.34;

  using Send = std::function<void(const ClientRequest&)>;

  // capacity: of the whole fleet, in requests/s. `send` is called for each request and each retry.
  ClientTraffic(const FleetScenario& scenario, const std::vector<RequestClass>& classes, double capacity,
                EventQueue& queue, SimulationRandom& random, Send send);

  void schedule_next_arrival();

  // The request was rejected or has failed: its client may retry, not before `retry_after` seconds.
  void retry_later(const ClientRequest& request, double retry_after);

  int requests() const { return requests_; }  // that have arrived, without retries

 private:
  double arrival_rate() const;
  void arrive();

  const FleetScenario& scenario_;
  const std::vector<RequestClass>& classes_;
  double capacity_;
  EventQueue& queue_;
  SimulationRandom& random_;
  Send send_;
  int requests_ = 0;
};

}  // namespace asterdrift::balancer
