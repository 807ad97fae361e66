// Limits of requests in flight, from response rates and the latency without queueing.
#include "balancer/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::balancer {
namespace {

constexpr double kEndpointQueueFactor = 1.5;  // x the idle latency; the longest queue of an endpoint
constexpr double kTierQueueFactor = 1.8;      // x the idle latency; higher, since the tier's rate is steadier
constexpr double kMinCapacity = 2;            // requests in flight at an endpoint, over all replicas
constexpr double kStartCapacity = 6;  // requests in flight in addition, before an endpoint can have responded
constexpr double kLowShare = 1.75;    // requests in flight; this replica's share of an endpoint
constexpr double kLowTrafficStartCapacity = 1.5;  // requests in flight at the start; decays
constexpr double kLowTrafficSlack = 0.4;  // requests in flight on average beyond the measured capacity

}  // namespace

void ConcurrencyLimit::on_endpoint_list() { started_at_ = std::min(started_at_, state_.now); }

// Capacity that is not measured is divided between the replicas by random offsets. Where this replica's share
// of an endpoint is low, a fixed offset would exclude most replicas from it permanently, so each request
// draws a new one.
bool ConcurrencyLimit::is_below_limit(const EndpointRecord& record) {
  const TrafficStatistics& traffic = state_.traffic;
  if (traffic.is_low(state_.now)) return true;
  const double offset = is_endpoint_share_low() ? state_.random.unit() : record.rounding_offset;
  return record.in_flight + offset <
         unmeasured_capacity(record.first_seen_at) / state_.subset.sharing_replicas() +
             kEndpointQueueFactor * traffic.idle_latency_s() * record.response_rate.at(state_.now);
}

bool ConcurrencyLimit::tier_has_capacity() const {
  if (!is_limited()) return true;
  const TrafficStatistics& traffic = state_.traffic;
  const double now = state_.now;
  // At the start of a replica with few requests the upper bound of the idle latency replaces the estimate,
  // which would reject requests to a slow tier that is idle.
  const bool is_known = traffic.idle_latency.is_learned() || !is_endpoint_share_low();
  const double idle_latency_s =
      is_known ? traffic.idle_latency_s() : kMaxIdleLatencyFraction * traffic.objective.mean;
  const double measured = kTierQueueFactor * idle_latency_s * traffic.response_rate.at(now);
  if (traffic.is_low(now)) {
    const double start = kLowTrafficStartCapacity * std::exp((started_at_ - now) / kTierTimeConstantS);
    return traffic.in_flight.mean(now) < kLowTrafficSlack + start + measured;
  }
  const double start = unmeasured_capacity(started_at_) * static_cast<double>(state_.subset.size()) /
                       state_.subset.sharing_replicas();
  return traffic.in_flight.level() < 1 + start + measured;
}

// Requests that may be in flight at an endpoint, over all replicas, regardless of its response rate.
double ConcurrencyLimit::unmeasured_capacity(double since) const {
  return kMinCapacity + kStartCapacity * std::exp((since - state_.now) / kResponseRateTimeConstantS);
}

// Whether this replica's share of an average endpoint's capacity is too small to count in whole requests.
bool ConcurrencyLimit::is_endpoint_share_low() const {
  const TrafficStatistics& traffic = state_.traffic;
  const double in_flight = kEndpointQueueFactor * traffic.idle_latency_s() * traffic.request_rate(state_.now);
  const double share = in_flight / static_cast<double>(state_.endpoints.ready().size());
  return share + kMinCapacity / state_.subset.sharing_replicas() < kLowShare;
}

}  // namespace asterdrift::balancer
