// Computes the limits of requests in flight from response rates and the latency without queueing.
#include "balancer/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::balancer {
namespace {

// The longest latency that queueing may cause, as a multiple of the idle latency. It is higher for the tier,
// since the response rate of the tier is steadier than that of one endpoint.
constexpr double kEndpointQueueFactor = 1.5;
constexpr double kTierQueueFactor = 1.8;

// All capacities are numbers of requests in flight.
//
// All replicas together may have this many requests in flight at an endpoint, whatever its response rate is.
constexpr double kMinCapacity = 2;
// A new endpoint cannot have responded yet, so it gets this capacity in addition. The addition decays.
constexpr double kStartCapacity = 6;
// Below this, a replica's share of an endpoint's capacity counts as low.
constexpr double kLowShare = 1.75;
// While the traffic is low, the mean number of requests in flight at the tier may exceed the measured
// capacity by kLowTrafficSlack, and in addition by kLowTrafficStartCapacity when the first endpoint list
// arrives. The latter decays.
constexpr double kLowTrafficStartCapacity = 1.5;
constexpr double kLowTrafficSlack = 0.4;

}  // namespace

void ConcurrencyLimit::on_endpoint_list() { first_list_at_ = std::min(first_list_at_, state_.now); }

// Random offsets divide the capacity that is not measured between the replicas. If this replica's share of
// the endpoint is low, a fixed offset would exclude most replicas from the endpoint permanently, so each
// request draws a new offset.
bool ConcurrencyLimit::is_below_limit(const EndpointRecord& record) {
  const TrafficStatistics& traffic = state_.traffic;
  if (traffic.is_low(state_.now)) return true;
  const double offset = is_endpoint_share_low() ? state_.random.unit() : record.rounding_offset;
  return record.in_flight + offset <
         unmeasured_capacity(record.first_seen_at) / state_.subset.sharing_replicas() +
             kEndpointQueueFactor * traffic.idle_latency() * record.response_rate.at(state_.now);
}

bool ConcurrencyLimit::tier_has_capacity() const {
  if (!is_limited()) return true;
  const TrafficStatistics& traffic = state_.traffic;
  const Seconds now = state_.now;
  // At the start of a replica with few requests, the upper bound of the idle latency replaces its estimate.
  // With the estimate the replica would reject requests to a slow tier that is idle.
  const bool use_estimate = traffic.idle_latency_fraction.is_learned() || !is_endpoint_share_low();
  const Seconds idle_latency =
      use_estimate ? traffic.idle_latency() : kMaxIdleLatencyFraction * traffic.objective.mean;
  const double measured = kTierQueueFactor * idle_latency * traffic.response_rate.at(now);
  if (traffic.is_low(now)) {
    const double start = kLowTrafficStartCapacity * std::exp((first_list_at_ - now) / kTierTimeConstant);
    return traffic.in_flight.mean(now) < kLowTrafficSlack + start + measured;
  }
  const double start = unmeasured_capacity(first_list_at_) * static_cast<double>(state_.subset.size()) /
                       state_.subset.sharing_replicas();
  return traffic.in_flight.level() < 1 + start + measured;
}

// The number of requests that all replicas together may have in flight at an endpoint, regardless of its
// response rate. `since`: when the endpoint was first seen or, for the endpoints of the tier on average, when
// the first endpoint list arrived.
double ConcurrencyLimit::unmeasured_capacity(Seconds since) const {
  return kMinCapacity + kStartCapacity * std::exp((since - state_.now) / kResponseRateTimeConstant);
}

// Whether this replica's share of an average endpoint's capacity is too small to count in whole requests.
bool ConcurrencyLimit::is_endpoint_share_low() const {
  const TrafficStatistics& traffic = state_.traffic;
  const double in_flight = kEndpointQueueFactor * traffic.idle_latency() * traffic.request_rate(state_.now);
  const double share = in_flight / static_cast<double>(state_.endpoints.ready().size());
  return share + kMinCapacity / state_.subset.sharing_replicas() < kLowShare;
}

}  // namespace asterdrift::balancer
