// Which endpoint gets an attempt: the less busy of two random ones of the subset.
#pragma once

#include <optional>
#include <vector>

#include "balancer/concurrency_limit.h"
#include "balancer/pending_request.h"
#include "balancer/slow_start.h"
#include "support/weighted_sample.h"

namespace asterdrift::balancer {

constexpr double kMostZoneSamples = 30;  // a zone's measure is steadier than one endpoint's

class EndpointSelection {
 public:
  EndpointSelection(ReplicaState& state, ConcurrencyLimit& concurrency, SlowStart& slow_start)
      : state_(state), concurrency_(concurrency), slow_start_(slow_start) {}

  // The slot of an endpoint for the request's next attempt; none where no endpoint may get it.
  std::optional<std::size_t> select(const PendingRequest& request);
  // latency: of an attempt, as a fraction of the objective.
  void record_latency(const EndpointRecord& record, double latency);

 private:
  enum class Filter { kHealthyAndUntried, kUntried, kAny };

  bool collect_candidates(const PendingRequest& request, Filter filter);
  bool in_dedup_scope(const PendingRequest& request, const EndpointRecord& record) const;
  support::CircularRange reachable(const PendingRequest& request) const;
  bool is_remote(const EndpointRecord& record) const {
    return state_.subset.prefers_own_zone() && record.advertised.zone != state_.settings.zone;
  }
  double remote_weight() const;
  double selection_weight(const EndpointRecord& record) const;

  ReplicaState& state_;
  ConcurrencyLimit& concurrency_;
  SlowStart& slow_start_;
  std::vector<std::uint32_t> examined_;  // slots
  support::WeightedSample<std::uint32_t> candidates_;
  support::DecayingMean local_latency_{kLatencyTimeConstantS, kMostZoneSamples},
      remote_latency_ = local_latency_;
  double remote_weight_ = 0;  // of the candidates that are being collected
};

}  // namespace asterdrift::balancer
