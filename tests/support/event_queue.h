// Events of a simulation in virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <queue>
#include <vector>

namespace asterdrift::balancer {

// Runs scheduled events in the order of their times, and those of one time in the order of their scheduling.
class EventQueue {
 public:
  double now() const { return now_; }  // s; the time of the event that runs

  void schedule(double at, std::function<void()> run);

  // Runs all events up to `end`, that time included, and those that they schedule meanwhile.
  void run_until(double end = std::numeric_limits<double>::infinity());

 private:
  struct ScheduledEvent {
    double at = 0;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : number > other.number;  // the earliest is on top
    }
  };

  std::priority_queue<ScheduledEvent> events_;
  std::uint64_t scheduled_ = 0;
  double now_ = 0;
};

}  // namespace asterdrift::balancer
