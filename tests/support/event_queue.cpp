#include "support/event_queue.h"

#include <utility>

namespace asterdrift::balancer {

void EventQueue::schedule(Seconds at, std::function<void()> run) {
  events_.push({at, ++last_sequence_number_, std::move(run)});
}

void EventQueue::run_until(Seconds end) {
  while (!events_.empty() && events_.top().at <= end) {
    now_ = events_.top().at;
    const std::function<void()> run = events_.top().run;
    events_.pop();
    run();
  }
}

}  // namespace asterdrift::balancer
