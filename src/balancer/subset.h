// Subsetting: the endpoints that a replica normally sends its requests to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "balancer/endpoint_set.h"

namespace asterdrift::balancer {

constexpr std::size_t kMinSubsetSize = 8;       // endpoints: a compromise of even load and few connections
constexpr std::size_t kMinSharingReplicas = 2;  // that use each endpoint; few replicas have large subsets
constexpr std::size_t kMinZoneSize = 3;         // endpoints: a choice, even when one of them fails

// Distributes the endpoints evenly over the replicas, by consecutive ranges of the endpoints' order.
class Subset {
 public:
  // Number of endpoints in the subset.
  std::size_t size() const { return size_; }
  // Number of replicas that use the same endpoint, on average.
  double sharing_replicas() const { return sharing_replicas_; }
  // Whether endpoints of other zones are used less than those of the replica's own zone.
  bool prefers_own_zone() const { return prefers_own_zone_; }

  // Selects the subset again, after `endpoints` has changed.
  void update(const Settings& settings, const EndpointSet& endpoints);

  // The slots of a small subset, or of the first endpoints of a large one: as many as a request examines.
  const std::vector<std::uint32_t>& fixed_sample() const { return fixed_sample_; }
  // The same, but from random positions of a large subset, in proportion from its own zone and from others.
  void sample(support::Random& random, std::vector<std::uint32_t>& slots) const;
  // The slots of a short range, or the next ones of a long range: size / kMaxExaminedEndpoints samples cover
  // it.
  void sample_next(const support::CircularRange& range, std::vector<std::uint32_t>& slots);

 private:
  std::size_t sample_size(const support::CircularRange& range) const;

  std::vector<support::CircularRange> ranges_;  // of its own zone and of others, or of all endpoints
  std::vector<std::uint32_t> fixed_sample_;     // slots
  std::size_t size_ = 0;
  std::size_t next_ = 0;  // where sample_next() continues
  double sharing_replicas_ = 1;
  bool prefers_own_zone_ = false;
};

}  // namespace asterdrift::balancer
