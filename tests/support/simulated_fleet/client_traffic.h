// The clients of a simulated fleet, whose requests arrive at random and which retry.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "asterdrift/balancer/settings.h"
#include "asterdrift/seconds.h"
#include "support/event_queue.h"
#include "support/simulated_fleet/fleet_scenario.h"
#include "support/simulated_fleet/simulation_random.h"

namespace asterdrift::balancer {

// One request of a client. Retries of the client are further tries of the same request.
struct ClientRequest {
  double work = 0;       // relative to the mean work of all requests
  Seconds deadline = 0;  // when the client gives up
  int tries = 0;         // sent so far, the first one included
  std::size_t tenant = 0;
  std::size_t request_class = 0;
};

// Schedules the arrivals and retries of requests on the event queue.
class ClientTraffic {
 public:
  // Indexes into Settings::classes: requests with an idempotency key, and requests that are not idempotent.
  static constexpr std::size_t kKeyedClass = 0;
  static constexpr std::size_t kNonIdempotentClass = 1;
  // Shares of the requests and of the quotas.
  static constexpr double kFirstTenantShare = 0.66;
  static constexpr double kSecondTenantShare = 0.34;

  using Send = std::function<void(const ClientRequest&)>;

  // `capacity` is that of the whole fleet, in requests/s. `send` is called for each request and each retry.
  ClientTraffic(const FleetScenario& scenario, const std::vector<RequestClass>& classes, double capacity,
                EventQueue& queue, SimulationRandom& random, Send send);

  void schedule_next_arrival();

  // Called when a request was rejected or has failed. The client may retry, after a delay that depends on
  // `retry_after`.
  void schedule_retry(const ClientRequest& request, Seconds retry_after);

  // Number of requests so far, without retries.
  int requests() const { return requests_; }

 private:
  double arrival_rate() const;
  void send_new_request();

  const FleetScenario& scenario_;
  const std::vector<RequestClass>& classes_;
  double capacity_;
  EventQueue& queue_;
  SimulationRandom& random_;
  Send send_;
  int requests_ = 0;
};

}  // namespace asterdrift::balancer
