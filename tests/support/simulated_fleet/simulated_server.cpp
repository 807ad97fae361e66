// A server of a simulated fleet.
#include "support/simulated_fleet/simulated_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace asterdrift::balancer {
namespace {

constexpr std::size_t kMaxQueuedAttemptsPerSlot = 6;  // further attempts are rejected
// A server with more than kCongestedAttemptsPerSlot queued attempts works at kCongestedSpeedFactor of its
// usual speed.
constexpr std::size_t kCongestedAttemptsPerSlot = 2;
constexpr double kCongestedSpeedFactor = 0.6;
constexpr Seconds kTimeFromUnresponsiveToStart = 2;
constexpr Seconds kPausePeriod = 3;
constexpr Seconds kPauseDuration = 0.4;  // duration of the pause at the beginning of each period

}  // namespace

SimulatedServer::SimulatedServer(const FleetScenario& scenario, Endpoint endpoint, int slots, double rate,
                                 EventQueue& queue, Respond respond)
    : scenario_(scenario),
      endpoint_(std::move(endpoint)),
      slots_(static_cast<std::size_t>(slots)),
      rate_(rate),
      queue_(queue),
      respond_(std::move(respond)) {}

void SimulatedServer::start() {
  running_ = true;
  started_at_ = queue_.now();
  endpoint_.started_at = queue_.now();
}

void SimulatedServer::crash() {
  running_ = false;
  ++incarnation_;
  busy_slots_ = 0;
  waiting_.clear();
}

double SimulatedServer::capacity_fraction(Seconds time) const {
  if (!started_at_) return 1;
  const double warm_up_gain = (1 - scenario_.slow_start_capacity) * std::max(0.0, time - *started_at_);
  return std::min(1.0, scenario_.slow_start_capacity + warm_up_gain / scenario_.slow_start_duration);
}

void SimulatedServer::receive(const FleetAttempt& attempt, bool sender_notified) {
  if (!running_) return respond_(attempt, Outcome::kConnectFailed);
  if (started_at_) arrivals_.push_back({queue_.now(), attempt.work, sender_notified});
  switch (fault_) {
    case Fault::kUnreachable:
      return respond_(attempt, Outcome::kConnectFailed);
    case Fault::kRejecting:
      return respond_(attempt, Outcome::kRejected);
    case Fault::kFailing:
      return respond_(attempt, Outcome::kServerError);
    case Fault::kUnresponsive:
      if (queue_.now() > scenario_.start_at - kTimeFromUnresponsiveToStart) return;
      break;
    default:
      break;
  }
  if (busy_slots_ < slots_) return serve(attempt);
  if (waiting_.size() >= kMaxQueuedAttemptsPerSlot * slots_) return respond_(attempt, Outcome::kRejected);
  waiting_.push_back(attempt);
}

Seconds SimulatedServer::service_time(double work) const {
  const Seconds now = queue_.now();
  Seconds duration = work * static_cast<double>(slots_) / (rate_ * capacity_fraction(now));
  if (waiting_.size() > kCongestedAttemptsPerSlot * slots_) duration /= kCongestedSpeedFactor;
  if (fault_ == Fault::kSlow) duration *= scenario_.slowdown;
  if (scenario_.shared_slowdown && now > scenario_.start_at) duration *= scenario_.slowdown;
  const Seconds time_in_period = std::fmod(now, kPausePeriod);
  if (fault_ == Fault::kPausing && time_in_period < kPauseDuration)
    duration += kPauseDuration - time_in_period;
  return duration;
}

void SimulatedServer::serve(const FleetAttempt& attempt) {
  ++busy_slots_;
  const Seconds finished_at = queue_.now() + service_time(attempt.work);
  queue_.schedule(finished_at, [this, attempt, incarnation = incarnation_] {
    if (incarnation != incarnation_) return respond_(attempt, Outcome::kConnectionReset);
    finish(attempt);
  });
}

void SimulatedServer::finish(const FleetAttempt& attempt) {
  --busy_slots_;
  respond_(attempt, Outcome::kSuccess);
  if (waiting_.empty()) return;
  const FleetAttempt next = waiting_.front();
  waiting_.pop_front();
  serve(next);
}

}  // namespace asterdrift::balancer
