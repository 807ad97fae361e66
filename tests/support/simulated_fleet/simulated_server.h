// A server of a simulated fleet.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "asterdrift/balancer/events.h"
#include "asterdrift/seconds.h"
#include "support/event_queue.h"
#include "support/simulated_fleet/fleet_scenario.h"

namespace asterdrift::balancer {

// One attempt on its way from a replica to a server and back.
struct FleetAttempt {
  std::size_t replica = 0;
  std::string request_id;
  int number = 0;
  double work = 0;  // relative to the mean work of all requests
  Seconds sent_at = 0;
};

// The arrival of an attempt at a server that has started during the run.
struct SlowStartArrival {
  Seconds at = 0;
  double work = 0;               // relative to the mean work of all requests
  bool sender_notified = false;  // the sending replica had been notified of the start
};

// Serves attempts one after another in each of its slots. After a start the server has only a fraction of its
// capacity, which grows to the full capacity. A fault changes how the server responds.
class SimulatedServer {
 public:
  using Respond = std::function<void(const FleetAttempt&, Outcome)>;

  // `rate` is the full capacity in requests/s. `respond` is called when an attempt has succeeded or failed.
  SimulatedServer(const FleetScenario& scenario, Endpoint endpoint, int slots, double rate, EventQueue& queue,
                  Respond respond);

  void set_fault(Fault fault) { fault_ = fault; }
  void receive(const FleetAttempt& attempt, bool sender_notified);
  void stop() { running_ = false; }  // before the run
  void crash();                      // open connections are reset
  void start();

  bool running() const { return running_; }
  const Endpoint& endpoint() const { return endpoint_; }
  double rate() const { return rate_; }
  // Fraction of the full capacity that the server has at `time`.
  double capacity_fraction(Seconds time) const;
  // Empty if the server has not started during the run.
  std::optional<Seconds> started_at() const { return started_at_; }
  // The arrivals since the server has started during the run.
  const std::vector<SlowStartArrival>& arrivals() const { return arrivals_; }

 private:
  void serve(const FleetAttempt& attempt);
  void finish(const FleetAttempt& attempt);
  Seconds service_time(double work) const;

  const FleetScenario& scenario_;
  Endpoint endpoint_;
  std::size_t slots_;
  double rate_;
  EventQueue& queue_;
  Respond respond_;
  Fault fault_ = Fault::kNone;
  bool running_ = true;
  int incarnation_ = 0;
  std::optional<Seconds> started_at_;
  std::size_t busy_slots_ = 0;
  std::deque<FleetAttempt> waiting_;
  std::vector<SlowStartArrival> arrivals_;
};

}  // namespace asterdrift::balancer
