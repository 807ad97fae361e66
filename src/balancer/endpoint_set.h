// The endpoints that a replica knows, with indexes by zone and cell.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "balancer/endpoint_record.h"
#include "support/named_slots.h"
#include "support/random.h"

namespace asterdrift::balancer {

constexpr std::size_t kMaxExaminedEndpoints = 64;  // endpoints, in one step of a selection

// Each endpoint has a slot while it is listed or has requests in flight; slots are reused.
class EndpointSet {
 public:
  // zone: that of this replica.
  explicit EndpointSet(int zone = 0) : zone_(zone) {}

  // Number of slots, used or not.
  std::size_t size() const { return records_.size(); }
  EndpointRecord& operator[](std::size_t slot) { return records_[slot]; }
  const EndpointRecord& operator[](std::size_t slot) const { return records_[slot]; }

  // The endpoints that are ready, ordered by hash. All ranges have the same order.
  const support::OrderedIndex& ready() const { return ready_; }
  support::CircularRange all() const { return ready_.range(); }
  // Those of other zones than this replica's.
  support::CircularRange other_zones() const { return other_zones_.range(); }
  support::CircularRange in_zone(int zone) const { return by_zone_.range_of(key_of(zone)); }
  support::CircularRange in_cell(int cell) const { return by_cell_.range_of(key_of(cell)); }
  // The sum of the weights of the endpoints that are ready.
  double ready_weight() const { return ready_weight_; }

  // Applies an update. responses: the number of responses that this replica has received so far.
  void apply(const EndpointUpdate& update, double now, std::uint64_t responses, support::Random& random);
  // Applies one endpoint of an update; finish_update() has to follow.
  void apply(const Endpoint& advertised, double now, std::uint64_t responses, support::Random& random);
  // Releases the slots of removed endpoints without requests in flight, and completes the indexes.
  void finish_update();

  // Requests in flight of the endpoint, or its latency, have changed: it may have become an outlier.
  void track(std::size_t slot, double now);

  // The metrics of the endpoints. Outliers are ejected only while others are healthy: where none is healthy,
  // none is ejected.
  template <class Predicate>
  EndpointMetrics metrics(const Predicate& is_outlier) const {
    std::size_t outliers = 0;  // all of them are tracked
    for (const std::uint32_t slot : tracked_) {
      const EndpointRecord& record = records_[slot];
      if (record.indexed && is_outlier(record)) ++outliers;
    }
    const std::size_t listed = records_.in_use().size() - removed_.size();
    const std::size_t ejected = outliers < ready_.size() ? outliers : 0;
    const std::size_t unavailable = listed - ready_.size() + ejected;
    return {listed, unavailable, records_.reads()};
  }

 private:
  static std::uint32_t key_of(int number) { return static_cast<std::uint32_t>(number); }

  void mark_removed(std::uint32_t slot);
  bool release(std::uint32_t slot);

  void set_indexed(std::uint32_t slot, bool indexed);
  void clear_indexes();
  void rebuild_indexes();
  void sum_weights();

  int zone_;
  support::NamedSlots<EndpointRecord> records_;
  std::vector<std::uint32_t> removed_;  // slots of removed endpoints that are not released yet
  std::vector<std::uint32_t> tracked_;  // slots
  std::size_t next_tracked_ = 0;        // position in tracked_ that is checked next
  std::size_t index_changes_ = 0;       // by the update that is being applied
  bool rebuild_ = false;                // it changes so much that the indexes are rebuilt at its end
  support::OrderedIndex ready_;
  support::OrderedIndex other_zones_;
  support::OrderedIndex by_zone_;
  support::OrderedIndex by_cell_;
  double ready_weight_ = 0;
};

}  // namespace asterdrift::balancer
