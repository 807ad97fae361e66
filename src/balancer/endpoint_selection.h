// Endpoint selection: decides which endpoint gets an attempt.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/concurrency_limit.h"
#include "balancer/pending_request.h"
#include "balancer/slow_start.h"
#include "support/weighted_sample.h"

namespace asterdrift::balancer {

// Draws two random endpoints of the subset by weight, and selects the less busy of the two (power of two
// choices).
class EndpointSelection {
 public:
  // The arguments have to outlive this object.
  EndpointSelection(ReplicaState& state, ConcurrencyLimit& concurrency, SlowStart& slow_start);

  // The slot of an endpoint for the request's next attempt; none if no endpoint may get the attempt.
  std::optional<std::size_t> select(const PendingRequest& request);

  // Records the latency of an attempt, as a fraction of the objective.
  void record_latency(const EndpointRecord& record, double latency);

 private:
  enum class Filter { kHealthyAndUntried, kUntried, kAny };

  bool find_candidates(const PendingRequest& request);
  bool collect_candidates(const PendingRequest& request, Filter filter);
  bool is_candidate(const PendingRequest& request, EndpointRecord& record, Filter filter);
  bool would_deduplicate(const PendingRequest& request, const EndpointRecord& record) const;
  support::CircularRange eligible_range(const PendingRequest& request) const;
  bool is_remote(const EndpointRecord& record) const;
  double remote_weight() const;
  double selection_weight(const EndpointRecord& record) const;

  ReplicaState& state_;
  ConcurrencyLimit& concurrency_;
  SlowStart& slow_start_;
  std::vector<std::uint32_t> examined_slots_;
  support::WeightedSample<std::uint32_t> candidates_;
  // Latency of the endpoints in the own zone, as a multiple of the tier's latency.
  support::DecayingMean local_latency_;
  // Latency of the endpoints in other zones, as a multiple of the tier's latency.
  support::DecayingMean remote_latency_;
  double remote_weight_ = 0;  // remote_weight() when the collection of candidates began
};

}  // namespace asterdrift::balancer
