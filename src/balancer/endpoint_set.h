// The endpoints that a replica knows, with indexes by zone and cell.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "asterdrift/seconds.h"
#include "balancer/endpoint_record.h"
#include "support/named_slots.h"
#include "support/random.h"

namespace asterdrift::balancer {

// The maximum number of endpoints that one step of a selection examines.
constexpr std::size_t kMaxExaminedEndpoints = 64;

// Applies endpoint updates, and finds endpoints by slot, zone or cell. Each endpoint has a slot as long as
// the endpoint is listed or has requests in flight. Slots are reused.
class EndpointSet {
 public:
  // `zone` is the zone of this replica.
  explicit EndpointSet(int zone = 0) : zone_(zone) {}

  // Number of slots, including those that are not in use.
  std::size_t size() const { return records_.size(); }
  EndpointRecord& operator[](std::size_t slot) { return records_[slot]; }
  const EndpointRecord& operator[](std::size_t slot) const { return records_[slot]; }

  // The endpoints that are ready, ordered by hash. All ranges consist of ready endpoints in this order.
  const support::OrderedIndex& ready() const { return ready_; }
  support::CircularRange all() const { return ready_.range(); }
  // The ready endpoints of all zones except the zone of this replica.
  support::CircularRange other_zones() const { return other_zones_.range(); }
  support::CircularRange in_zone(int zone) const { return by_zone_.equal_range(to_key(zone)); }
  support::CircularRange in_cell(int cell) const { return by_cell_.equal_range(to_key(cell)); }
  // The sum of the weights of the endpoints that are ready.
  double ready_weight() const { return ready_weight_; }

  // Applies an update. `responses` is the number of responses that this replica has received so far.
  void apply(const EndpointUpdate& update, Seconds now, std::uint64_t responses, support::Random& random);
  // Applies one endpoint of an update. finish_update() has to be called after the last endpoint.
  void apply(const Endpoint& advertised, Seconds now, std::uint64_t responses, support::Random& random);
  // Releases the slots of removed endpoints without requests in flight, and completes the indexes.
  void finish_update();

  // Tracks an endpoint whose requests in flight or latency have changed: the endpoint may have become an
  // outlier.
  void track(std::size_t slot, Seconds now);

  // The metrics of the endpoints. Outliers are ejected only while other endpoints are healthy: if no endpoint
  // is healthy, none is ejected.
  template <class Predicate>
  EndpointMetrics metrics(const Predicate& is_outlier) const {
    std::size_t outliers = 0;  // every outlier is tracked
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
  static std::uint32_t to_key(int number) { return static_cast<std::uint32_t>(number); }

  void remove_if_unlisted(std::uint32_t slot);
  bool finish_removal(std::uint32_t slot);

  void set_indexed(std::uint32_t slot, bool indexed);
  void clear_indexes();
  void rebuild_indexes();
  void sum_weights();

  int zone_;
  support::NamedSlots<EndpointRecord> records_;
  std::vector<std::uint32_t> removed_;  // slots of removed endpoints that are not released yet
  std::vector<std::uint32_t> tracked_;  // slots of the endpoints that may be outliers
  std::size_t next_tracked_ = 0;        // position in tracked_ that is checked next
  std::size_t index_changes_ = 0;       // changes of the indexes by the update that is being applied
  bool must_rebuild_ = false;  // the update changes so many endpoints that the indexes are rebuilt at its end
  support::OrderedIndex ready_;
  support::OrderedIndex other_zones_;
  support::OrderedIndex by_zone_;
  support::OrderedIndex by_cell_;
  double ready_weight_ = 0;
};

}  // namespace asterdrift::balancer
