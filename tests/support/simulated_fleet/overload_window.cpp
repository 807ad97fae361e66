#include "support/simulated_fleet/overload_window.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::balancer {
namespace {

// Running sums of the arrivals of the last `duration` seconds.
class ArrivalWindow {
 public:
  ArrivalWindow(const std::vector<SlowStartArrival>& arrivals, Seconds duration)
      : arrivals_(arrivals), duration_(duration) {}

  void advance_to(std::size_t last) {
    const SlowStartArrival& newest = arrivals_[last];
    work_ += newest.work;
    notified_ += newest.sender_notified ? 1 : 0;
    notified_work_ += newest.sender_notified ? newest.work : 0;
    for (; arrivals_[first_].at <= newest.at - duration_; ++first_) {
      const SlowStartArrival& oldest = arrivals_[first_];
      work_ -= oldest.work;
      notified_ -= oldest.sender_notified ? 1 : 0;
      notified_work_ -= oldest.sender_notified ? oldest.work : 0;
    }
    attempts_ = static_cast<double>(last - first_ + 1);
  }

  double attempts() const { return attempts_; }
  double work() const { return work_; }
  // Whether more than two thirds of the load came from replicas that had been notified of the start.
  bool most_attempts_notified() const { return notified_ * 3 > attempts_ * 2; }
  bool most_work_notified() const { return notified_work_ * 3 > work_ * 2; }

 private:
  const std::vector<SlowStartArrival>& arrivals_;
  Seconds duration_;
  std::size_t first_ = 0;
  double attempts_ = 0;
  double work_ = 0;
  double notified_ = 0;
  double notified_work_ = 0;
};

void update_smallest_margin(OverloadWindow& smallest, double allowed, double received,
                            Seconds time_since_start) {
  const double limit = allowed + 2 * std::sqrt(allowed) + 2;
  if (limit - received >= smallest.margin) return;
  smallest = {limit - received, received, limit, time_since_start};
}

double possible_attempts(const SimulatedServer& server, const FleetScenario& scenario, Seconds started_at) {
  const Seconds duration = std::min(scenario.slow_start_duration, scenario.end_at - scenario.start_at);
  return server.rate() * duration *
         (server.capacity_fraction(started_at) + server.capacity_fraction(started_at + duration)) / 2;
}

}  // namespace

void measure_slow_start(const SimulatedServer& server, const FleetScenario& scenario, SlowStartLoad& load) {
  if (!server.started_at()) return;
  const Seconds started_at = *server.started_at();
  load.attempts_possible += possible_attempts(server, scenario, started_at);
  ArrivalWindow window(server.arrivals(), scenario.overload_window);
  for (std::size_t last = 0; last < server.arrivals().size(); ++last) {
    window.advance_to(last);
    const Seconds now = server.arrivals()[last].at;
    if (now > started_at + scenario.slow_start_duration) break;
    ++load.attempts_received;
    const Seconds window_start = std::max(started_at, now - scenario.overload_window);
    const double allowed_at_full_capacity =
        scenario.overload_multiple * scenario.overload_window * server.rate();
    const double allowed = allowed_at_full_capacity * server.capacity_fraction((window_start + now) / 2);
    const Seconds time_since_start = now - started_at;
    if (window.most_attempts_notified()) {
      const double allowed_at_window_start =
          allowed_at_full_capacity * server.capacity_fraction(window_start);
      update_smallest_margin(load.attempts, allowed, window.attempts(), time_since_start);
      update_smallest_margin(load.attempts_by_capacity_at_window_start, allowed_at_window_start,
                             window.attempts(), time_since_start);
    }
    if (window.most_work_notified())
      update_smallest_margin(load.work, allowed, window.work(), time_since_start);
  }
}

}  // namespace asterdrift::balancer
