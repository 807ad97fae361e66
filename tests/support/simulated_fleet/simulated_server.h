// A server of a simulated fleet.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "asterdrift/balancer/events.h"
#include "support/event_queue.h"
#include "support/simulated_fleet/fleet_scenario.h"

namespace asterdrift::balancer {

// One attempt on its way from a replica to a server and back.
struct FleetAttempt {
  std::size_t replica = 0;
  std::string request_id;
  int number = 0;
  double work = 0;  // relative to the mean
  double sent_at = 0;
};

// An attempt that has reached a server since its start.
struct SlowStartArrival {
  double at = 0;
  double work = 0;
  bool sender_notified = false;  // its replica has been notified of the start
};

// Answers attempts one after another in each of its slots. After a start it has a fraction of its capacity,
// which grows to all of it; a fault of the scenario changes how it answers.
class SimulatedServer {
 public:
  using Respond = std::function<void(const FleetAttempt&, Outcome)>;

  // rate: requests/s with its full capacity. `respond` is called when an attempt is answered or has failed.
  SimulatedServer(const FleetScenario& scenario, Endpoint endpoint, int slots, double rate, EventQueue& queue,
                  Respond respond);

  void set_fault(Fault fault) { fault_ = fault; }
  void receive(const FleetAttempt& attempt, bool sender_notified);
  void stop() { running_ = false; }
  void crash();
  void start();

  bool running() const { return running_; }
  const Endpoint& endpoint() const { return endpoint_; }
  double rate() const { return rate_; }
  double capacity_fraction(double when) const;
  std::optional<double> started_at() const { return started_at_; }  // none: before the run
  const std::vector<SlowStartArrival>& arrivals() const { return arrivals_; }

 private:
  void serve(const FleetAttempt& attempt);
  void finish(const FleetAttempt& attempt);
  double service_time(double work) const;

  const FleetScenario& scenario_;
  Endpoint endpoint_;
  std::size_t slots_;
  double rate_;
  EventQueue& queue_;
  Respond respond_;
  Fault fault_ = Fault::kNone;
  bool running_ = true;
  int incarnation_ = 0;
  std::optional<double> started_at_;
  std::size_t busy_slots_ = 0;
  std::deque<FleetAttempt> waiting_;
  std::vector<SlowStartArrival> arrivals_;
};

}  // namespace asterdrift::balancer
