// Which servers a copy's calls go to as a rule, and which are looked at for one call.
#pragma once

#include <algorithm>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "members.h"
#include "support.h"

namespace asterdrift::balancer {

constexpr std::size_t kSubset = 8;  // servers at least; enough spread, few connections
constexpr std::size_t kCover = 2;   // copies that use each server, at least: few copies have large subsets
constexpr std::size_t kLeastLocal = 3;  // servers; with fewer in its own zone a copy does not prefer it

// Evenly spaced starts on a ring: any two servers differ by at most one in how many copies use them.
inline std::size_t subset_start(std::size_t replica_index, std::size_t replica_count, std::size_t servers) {
  return replica_index * servers / replica_count;
}

class Subset {
 public:
  std::size_t size() const { return size_; }
  double sharers() const { return sharers_; }
  bool stays() const { return stays_; }

  void choose(const Settings& settings, const Members& servers) {
    const support::CircularRange local = servers.of_zone(settings.zone);
    // Danger: with its own zone alone, a zone with more traffic than servers drowns beside an idle one. So a
    // like part of the other zones belongs to the subset, drawn the less for its price. Danger: with one or
    // two servers in its own zone there is nothing to choose from, and a small one gets a large one's calls.
    stays_ = settings.cross_zone_cost > 0 && local.size >= kLeastLocal;
    arcs_ = stays_ ? std::vector{local, servers.far()} : std::vector{servers.all()};
    const std::size_t count = static_cast<std::size_t>(settings.replica_count);
    if (size_ == 0)
      next_ = subset_start(static_cast<std::size_t>(settings.replica_index), count, servers.ready().size());
    size_ = 0;
    for (support::CircularRange& arc : arcs_) {
      // Danger: a subset of fixed size leaves servers without any caller where copies are few.
      arc.size =
          std::min(arc.circumference, std::max(kSubset, (kCover * arc.circumference + count - 1) / count));
      arc.start = subset_start(static_cast<std::size_t>(settings.replica_index), count, arc.circumference);
      size_ += arc.size;
    }
    sharers_ =
        std::max(1.0, static_cast<double>(count * size_) / static_cast<double>(servers.ready().size()));
    few_.clear();
    for (const support::CircularRange& arc : arcs_) arc.collect(0, part_of(arc), few_);
  }

  // Members of it: all of a small one, and as many as are looked at for a call of a large one.
  const std::vector<std::uint32_t>& few() const { return few_; }

  // All of a small subset; of a large one, runs at random places: like parts of its own zone and of others.
  // The order is that of a hash of their names: servers that stand together have nothing else in common.
  void look(Random& random, std::vector<std::uint32_t>& out) const {
    out.clear();
    if (size_ <= kMostLooked) {
      out = few_;
      return;
    }
    for (const support::CircularRange& arc : arcs_) {
      if (arc.size > 0) arc.collect(random.below(arc.size), part_of(arc), out);
    }
  }

  // All of a few servers; of many, those that follow where the last look ended: n / kMostLooked looks see
  // all.
  void look_on(const support::CircularRange& arc, std::vector<std::uint32_t>& out) {
    out.clear();
    if (arc.size <= kMostLooked) return arc.collect(0, arc.size, out);
    arc.collect(next_ % arc.size, kMostLooked, out);
    next_ += kMostLooked;
  }

 private:
  // How many of an arc's servers are looked at.
  std::size_t part_of(const support::CircularRange& arc) const {
    if (size_ <= kMostLooked) return arc.size;
    return std::min(arc.size, 1 + (kMostLooked - arcs_.size()) * arc.size / size_);
  }

  std::vector<support::CircularRange> arcs_;  // of its own zone and of others, or of all
  std::vector<std::uint32_t> few_;            // slots of some, or all where they are few
  std::size_t size_ = 0, next_ = 0;
  double sharers_ = 1;  // copies that use the same server
  bool stays_ = false;  // calls to other zones cost more
};

}  // namespace asterdrift::balancer
