// What a replica knows about one endpoint.
#pragma once

#include <cstdint>
#include <string>

#include "asterdrift/balancer/events.h"
#include "asterdrift/seconds.h"
#include "support/decaying_statistics.h"
#include "support/token_bucket.h"

namespace asterdrift::balancer {

constexpr Seconds kResponseRateTimeConstant = 2;
// Time constant of the decay of an endpoint's latency. An ejected endpoint is tried again after a few time
// constants.
constexpr Seconds kLatencyTimeConstant = 8;
// The upper bound of the samples that count for an endpoint's latency. With more samples, a replica with much
// traffic would detect an outlier later.
constexpr double kMaxLatencySamples = 4;
// Below this decayed sum of latencies, as fractions of the objective, an endpoint without requests in flight
// is no longer tracked.
constexpr double kMinTrackedLatency = 0.01;

// Limits the requests to an endpoint that is warming up.
struct SlowStartBudget {
  support::TokenBucket by_rate;       // refilled with time
  support::TokenBucket by_responses;  // refilled with the responses that the replica receives
  Seconds refilled_at = 0;
  std::uint64_t counted_responses = 0;  // received by the replica before the last refill
};

// An endpoint as discovery lists it, and the measurements of it.
struct EndpointRecord {
  const std::string& name() const { return advertised.address; }

  Endpoint advertised = {};  // endpoint as listed in the last update
  std::uint64_t hash = 0;    // hash of the address; gives all replicas the same order of endpoints
  int in_flight = 0;         // requests of this replica in flight at the endpoint
  bool indexed = false;      // the endpoint is ready, and is contained in the indexes
  bool tracked = false;      // the endpoint may be an outlier
  bool listed = false;       // the last snapshot or a later update contains the endpoint
  SlowStartBudget slow_start = {};
  support::DecayingRate response_rate{kResponseRateTimeConstant};
  // Latencies of attempts at the endpoint, as fractions of the objective.
  support::DecayingMean latency{kLatencyTimeConstant, kMaxLatencySamples};
  Seconds sent_at_sum = 0;     // sum of the send times of the requests in flight
  Seconds first_seen_at = 0;   // when this replica first saw the endpoint's current process
  double rounding_offset = 0;  // random, for rounding this replica's share of the capacity, in requests
};

}  // namespace asterdrift::balancer
