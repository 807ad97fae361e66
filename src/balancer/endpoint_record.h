// What a replica knows of one endpoint.
#pragma once

#include <cstdint>
#include <string>

#include "asterdrift/balancer/events.h"
#include "support/decaying_statistics.h"
#include "support/token_bucket.h"

namespace asterdrift::balancer {

constexpr double kResponseRateTimeConstantS = 2;
constexpr double kLatencyTimeConstantS = 8;  // after a few of these an ejected endpoint is tried again
constexpr double kMaxLatencySamples = 4;     // more would delay detection by a replica with much traffic
constexpr double kMinTrackedLatency = 0.01;  // decayed sum, as a fraction of the objective

// What an endpoint that is warming up may still be sent.
struct SlowStartBudget {
  support::TokenBucket by_rate;
  support::TokenBucket by_responses;
  double refilled_at = 0;
  std::uint64_t counted_responses = 0;  // of the replica, at the last refill
};

// An endpoint as it is listed, and what has been measured of it.
struct EndpointRecord {
  const std::string& name() const { return advertised.address; }

  Endpoint advertised = {};  // as in the last update
  std::uint64_t hash = 0;    // of the address; gives every replica the same order of endpoints
  int in_flight = 0;         // requests
  bool indexed = false;      // it is ready, and in the indexes
  bool tracked = false;      // it may be an outlier
  bool listed = false;       // by the last snapshot or since
  SlowStartBudget slow_start = {};
  support::DecayingRate response_rate{kResponseRateTimeConstantS};
  support::DecayingMean latency{kLatencyTimeConstantS, kMaxLatencySamples};  // fractions of the objective
  double sent_at_sum = 0;      // send times of the requests in flight, added up
  double first_seen_at = 0;    // this process of the endpoint
  double rounding_offset = 0;  // of this replica's share of its capacity, in requests
};

}  // namespace asterdrift::balancer
