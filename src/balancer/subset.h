// The endpoints that a replica's requests go to as a rule, and which of them are examined for one request.
#pragma once

#include <vector>

#include "balancer/endpoint_set.h"

namespace asterdrift::balancer {

constexpr std::size_t kLeastSubset = 8;    // endpoints; enough spread, few connections
constexpr std::size_t kLeastReplicas = 2;  // that use each endpoint: few replicas have large subsets
constexpr std::size_t kLeastZoneSize = 3;  // endpoints; with fewer its own zone is not preferred

class Subset {
 public:
  std::size_t size() const { return size_; }
  double sharing_replicas() const { return sharing_replicas_; }  // that use the same endpoint
  bool prefers_own_zone() const { return prefers_own_zone_; }

  // Chooses the subset anew, after `endpoints` has changed.
  void update(const Settings& settings, const EndpointSet& endpoints);

  // Slots of all of a small subset, or of as many of a large one as are examined for a request.
  const std::vector<std::uint32_t>& sample_of_few() const { return few_; }
  // The same, but of a large subset at random places, in like parts of its own zone and of others.
  void sample(support::Random& random, std::vector<std::uint32_t>& slots) const;
  // All of a short range; of a long one those that follow the last call's: size / kMostExamined calls see
  // all.
  void sample_next(const support::CircularRange& range, std::vector<std::uint32_t>& slots);

 private:
  std::size_t sample_size(const support::CircularRange& range) const;

  std::vector<support::CircularRange> ranges_;  // of its own zone and of others, or of all
  std::vector<std::uint32_t> few_;
  std::size_t size_ = 0, next_ = 0;
  double sharing_replicas_ = 1;
  bool prefers_own_zone_ = false;
};

}  // namespace asterdrift::balancer
