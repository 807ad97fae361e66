#include "support/simulated_fleet/client_traffic.h"

#include <algorithm>
#include <utility>

namespace asterdrift::balancer {
namespace {

constexpr double kKeyedRequestFraction = 0.55;
constexpr int kMaxTries = 4;
constexpr Seconds kMinTimeBeforeDeadline = 0.2;  // clients do not retry later than this before their deadline
constexpr Seconds kMinRetryDelay = 0.03;
constexpr Seconds kMeanRetryDelay = 0.1;  // random, in addition to kMinRetryDelay
// A client waits at least this fraction of Retry-After, and up to one Retry-After longer, at random.
constexpr double kMinRetryAfterFraction = 0.5;

}  // namespace

ClientTraffic::ClientTraffic(const FleetScenario& scenario, const std::vector<RequestClass>& classes,
                             double capacity, EventQueue& queue, SimulationRandom& random, Send send)
    : scenario_(scenario),
      classes_(classes),
      capacity_(capacity),
      queue_(queue),
      random_(random),
      send_(std::move(send)) {}

double ClientTraffic::arrival_rate() const {
  const Seconds since_burst = queue_.now() - scenario_.start_at - scenario_.burst_delay;
  const bool in_burst = since_burst >= 0 && since_burst < scenario_.burst_duration;
  return scenario_.load * capacity_ * (in_burst ? scenario_.burst_factor : 1);
}

// A Poisson process at the highest rate, from which requests are dropped to get the current rate.
void ClientTraffic::schedule_next_arrival() {
  const double max_rate = scenario_.load * capacity_ * std::max(1.0, scenario_.burst_factor);
  queue_.schedule(queue_.now() + random_.exponential(1 / max_rate), [this, max_rate] {
    schedule_next_arrival();
    if (random_.unit() * max_rate <= arrival_rate()) send_new_request();
  });
}

void ClientTraffic::send_new_request() {
  ++requests_;
  ClientRequest request;
  request.work = random_.lognormal(scenario_.work_coefficient_of_variation);
  request.tenant = random_.unit() < kFirstTenantShare ? 0 : 1;
  request.request_class = random_.unit() < kKeyedRequestFraction ? kKeyedClass : kNonIdempotentClass;
  request.deadline = queue_.now() + classes_[request.request_class].timeout;
  send_(request);
}

void ClientTraffic::schedule_retry(const ClientRequest& request, Seconds retry_after) {
  const Seconds advised_delay = retry_after * (kMinRetryAfterFraction + random_.unit());
  const Seconds retry_at =
      queue_.now() + advised_delay + kMinRetryDelay + random_.exponential(kMeanRetryDelay);
  if (request.tries >= kMaxTries || retry_at > request.deadline - kMinTimeBeforeDeadline) return;
  if (random_.unit() > scenario_.client_retry_probability) return;
  queue_.schedule(retry_at, [this, request] { send_(request); });
}

}  // namespace asterdrift::balancer
