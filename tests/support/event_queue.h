// Event queue of a simulation in virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <queue>
#include <vector>

#include "asterdrift/seconds.h"

namespace asterdrift::balancer {

// Runs scheduled events in order of time. Events with equal times run in the order in which they were
// scheduled.
class EventQueue {
 public:
  Seconds now() const { return now_; }  // time of the event that is running

  void schedule(Seconds at, std::function<void()> run);

  // Runs all events whose time is at most `end`, including events that these events schedule.
  void run_until(Seconds end = std::numeric_limits<double>::infinity());

 private:
  struct ScheduledEvent {
    Seconds at = 0;
    std::uint64_t sequence_number = 0;
    std::function<void()> run;
    bool operator<(const ScheduledEvent& other) const {
      // Reversed, because std::priority_queue has its largest element on top.
      return at != other.at ? at > other.at : sequence_number > other.sequence_number;
    }
  };

  std::priority_queue<ScheduledEvent> events_;
  std::uint64_t last_sequence_number_ = 0;
  Seconds now_ = 0;
};

}  // namespace asterdrift::balancer
