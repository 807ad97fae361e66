#include "support/simulated_fleet/client_traffic.h"

#include <algorithm>
#include <utility>

namespace asterdrift::balancer {
namespace {

constexpr double kKeyedShare = 0.55;  // of all requests
constexpr int kMaxTries = 4;
constexpr double kMinTimeForRetry = 0.2;      // s; before the client's deadline
constexpr double kMinRetryDelay = 0.03;       // s
constexpr double kMeanRetryDelay = 0.1;       // s; beyond kMinRetryDelay
constexpr double kMinRetryAfterFactor = 0.5;  // of Retry-After; the wait is up to one Retry-After longer

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
  const double since_burst = queue_.now() - scenario_.start_at - scenario_.burst_delay;
  const bool in_burst = since_burst >= 0 && since_burst < scenario_.burst_duration;
  return scenario_.load * capacity_ * (in_burst ? scenario_.burst_factor : 1);
}

void ClientTraffic::schedule_next_arrival() {
  const double max_rate = scenario_.load * capacity_ * std::max(1.0, scenario_.burst_factor);
  queue_.schedule(queue_.now() + random_.exponential(1 / max_rate), [this, max_rate] {
    schedule_next_arrival();
    if (random_.unit() * max_rate <= arrival_rate()) arrive();
  });
}

void ClientTraffic::arrive() {
  ++requests_;
  ClientRequest request;
  request.work = random_.lognormal(scenario_.work_variation);
  request.tenant = random_.unit() < kFirstTenantShare ? 0 : 1;
  request.request_class = random_.unit() < kKeyedShare ? kKeyedClass : kNonIdempotentClass;
  request.deadline = queue_.now() + classes_[request.request_class].timeout;
  send_(request);
}

void ClientTraffic::retry_later(const ClientRequest& request, double retry_after) {
  const double advised_delay = retry_after * (kMinRetryAfterFactor + random_.unit());
  const double retry_at =
      queue_.now() + advised_delay + kMinRetryDelay + random_.exponential(kMeanRetryDelay);
  if (request.tries >= kMaxTries || retry_at > request.deadline - kMinTimeForRetry) return;
  if (random_.unit() > scenario_.client_retry_probability) return;
  queue_.schedule(retry_at, [this, request] { send_(request); });
}

}  // namespace asterdrift::balancer
