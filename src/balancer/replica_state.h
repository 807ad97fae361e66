// The state that all decisions of one replica share.
#pragma once

#include "asterdrift/seconds.h"
#include "balancer/endpoint_set.h"
#include "balancer/outlier_detection.h"
#include "balancer/settings_validation.h"
#include "balancer/subset.h"
#include "balancer/traffic_statistics.h"
#include "support/random.h"

namespace asterdrift::balancer {

// The settings, the time, the random numbers, the endpoints and the measurements of a replica.
struct ReplicaState {
  // Throws std::invalid_argument, naming the field, when the settings cannot be used.
  ReplicaState(const Settings& configured, std::uint64_t seed)
      : settings(validated(configured)), random(seed), traffic(configured), endpoints(configured.zone) {}

  const Settings settings;
  support::Random random;
  Seconds now = 0;  // time of the event that is being handled
  TrafficStatistics traffic;
  OutlierDetection outliers{traffic};
  EndpointSet endpoints;
  Subset subset;
};

}  // namespace asterdrift::balancer
