// Computes a replica's ranges of the ordered endpoints, and takes samples of the ranges.
#include "balancer/subset.h"

#include <algorithm>

namespace asterdrift::balancer {

// The start positions of the subsets are evenly spaced on a ring: the numbers of replicas that use any two
// endpoints differ by at most one.
static std::size_t subset_start(std::size_t replica_index, std::size_t replica_count, std::size_t endpoints) {
  return replica_index * endpoints / replica_count;
}

std::vector<std::size_t> subset_positions(std::size_t replica_index, std::size_t replica_count,
                                          std::size_t endpoints, std::size_t size) {
  if (endpoints == 0 || replica_count == 0) return {};
  const std::size_t start = subset_start(replica_index, replica_count, endpoints);
  std::vector<std::size_t> positions;
  for (std::size_t i = 0; i < std::min(size, endpoints); ++i) positions.push_back((start + i) % endpoints);
  return positions;
}

void Subset::update(const Settings& settings, const EndpointSet& endpoints) {
  const auto replica_index = static_cast<std::size_t>(settings.replica_index);
  const auto replica_count = static_cast<std::size_t>(settings.replica_count);
  const std::size_t ready = endpoints.ready().size();
  const support::CircularRange local = endpoints.in_zone(settings.zone);
  // The subset includes a proportional part of the other zones, so that no zone is overloaded while another
  // is idle. Endpoints of other zones are used less because of their cost.
  prefers_own_zone_ = settings.cross_zone_cost > 0 && local.size >= kMinZoneSize;
  ranges_ = prefers_own_zone_ ? std::vector{local, endpoints.other_zones()} : std::vector{endpoints.all()};
  if (size_ == 0) next_position_ = subset_start(replica_index, replica_count, ready);
  size_ = 0;
  for (support::CircularRange& range : ranges_) {
    // With few replicas, subsets of a fixed size would leave some endpoints unused.
    const std::size_t min_covering_size =
        (kMinSharingReplicas * range.circumference + replica_count - 1) / replica_count;
    range.size = std::min(range.circumference, std::max(kMinSubsetSize, min_covering_size));
    range.start = subset_start(replica_index, replica_count, range.circumference);
    size_ += range.size;
  }
  sharing_replicas_ = std::max(1.0, static_cast<double>(replica_count * size_) / static_cast<double>(ready));
  fixed_sample_.clear();
  for (const support::CircularRange& range : ranges_) range.collect(0, sample_size(range), fixed_sample_);
}

void Subset::sample(support::Random& random, std::vector<std::uint32_t>& slots) const {
  slots.clear();
  if (size_ <= kMaxExaminedEndpoints) {
    slots = fixed_sample_;
    return;
  }
  for (const support::CircularRange& range : ranges_) {
    if (range.size > 0) range.collect(random.below(range.size), sample_size(range), slots);
  }
}

void Subset::sample_next(const support::CircularRange& range, std::vector<std::uint32_t>& slots) {
  slots.clear();
  if (range.size <= kMaxExaminedEndpoints) return range.collect(0, range.size, slots);
  range.collect(next_position_ % range.size, kMaxExaminedEndpoints, slots);
  next_position_ += kMaxExaminedEndpoints;
}

std::size_t Subset::sample_size(const support::CircularRange& range) const {
  if (size_ <= kMaxExaminedEndpoints) return range.size;
  return std::min(range.size, 1 + (kMaxExaminedEndpoints - ranges_.size()) * range.size / size_);
}

}  // namespace asterdrift::balancer
