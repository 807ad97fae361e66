// Subsetting: the endpoints that a replica normally sends its requests to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "balancer/endpoint_set.h"

namespace asterdrift::balancer {

// The minimum number of endpoints in a subset: a compromise between even load and few connections.
constexpr std::size_t kMinSubsetSize = 8;
// At least this many replicas use each endpoint, so a small number of replicas has large subsets.
constexpr std::size_t kMinSharingReplicas = 2;
// A zone is preferred only if it has this many endpoints, so that there is a choice even if one of them
// fails.
constexpr std::size_t kMinZoneSize = 3;

// Distributes the endpoints evenly over the replicas: each subset consists of consecutive ranges of the
// ordered endpoints.
class Subset {
 public:
  // Number of endpoints in the subset.
  std::size_t size() const { return size_; }
  // Number of replicas that use the same endpoint, on average.
  double sharing_replicas() const { return sharing_replicas_; }
  // Whether endpoints of other zones are used less than endpoints of the replica's own zone.
  bool prefers_own_zone() const { return prefers_own_zone_; }

  // Recomputes the subset after `endpoints` has changed.
  void update(const Settings& settings, const EndpointSet& endpoints);

  // The slots of all endpoints of a small subset, or of the first endpoints of a large subset, as many as a
  // request examines.
  const std::vector<std::uint32_t>& fixed_sample() const { return fixed_sample_; }
  // Sets `slots` to the slots of all endpoints of a small subset, or to slots from random positions of a
  // large subset, in proportion from the replica's own zone and from other zones.
  void sample(support::Random& random, std::vector<std::uint32_t>& slots) const;
  // Sets `slots` to the slots of a short range, or to the next slots of a long range: size /
  // kMaxExaminedEndpoints calls cover a long range.
  void sample_next(const support::CircularRange& range, std::vector<std::uint32_t>& slots);

 private:
  std::size_t sample_size(const support::CircularRange& range) const;

  // Ranges of the endpoints of the own zone and of other zones, or of all endpoints.
  std::vector<support::CircularRange> ranges_;
  std::vector<std::uint32_t> fixed_sample_;
  std::size_t size_ = 0;
  std::size_t next_position_ = 0;  // position at which sample_next() continues
  double sharing_replicas_ = 1;
  bool prefers_own_zone_ = false;
};

}  // namespace asterdrift::balancer
