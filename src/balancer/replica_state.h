// The state that the decisions of one replica share.
#pragma once

#include "balancer/endpoint_set.h"
#include "balancer/outlier_detection.h"
#include "balancer/subset.h"

namespace asterdrift::balancer {

// Throws std::invalid_argument, naming the field, when the settings cannot be used. The result ends with one
// more class and tenant, which stand for those out of range: not idempotent, without an objective or a quota.
Settings validated(Settings settings);

struct ReplicaState {
  ReplicaState(const Settings& configured, std::uint64_t seed)
      : settings(validated(configured)), random(seed), traffic(configured), endpoints(configured.zone) {}

  const Settings settings;
  support::Random random;
  double now = 0;  // s; the time of the event that is being handled
  TrafficStatistics traffic;
  OutlierDetection outliers{traffic};
  EndpointSet endpoints;
  Subset subset;
};

}  // namespace asterdrift::balancer
