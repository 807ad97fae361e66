#include "balancer/endpoint_selection.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::balancer {
constexpr double kRemotePart = 0.25;        // over the cost: what the power's excess adds to a remote weight
constexpr double kZoneChance = 2.5;         // of that power; a zone slower by a quarter may be so by chance
constexpr double kZonePower = 4;            // how strongly the zones' latencies shift that part
constexpr double kLatencyPower = 2;         // how strongly latency lowers an endpoint's weight
constexpr double kLeastTierLatency = 0.01;  // of the objective
constexpr std::size_t kStandInSteps = 4;    // of kMostExamined endpoints outside of the subset

// Where the subset has too few healthy endpoints, others stand in; where none is healthy the cause is shared
// and health does not count. So that no request holds up others, each step examines some endpoints, and the
// next step or request those that follow: where one in 50 can be used, one request in 170 misses them all.
std::optional<std::size_t> EndpointSelection::select(const PendingRequest& request) {
  if (!concurrency_.tier_has_capacity()) return std::nullopt;
  state_.subset.sample(state_.random, examined_);
  bool found =
      collect_candidates(request, Filter::kHealthyAndUntried) && candidates_.size() * 2 >= examined_.size();
  const support::CircularRange others = reachable(request);
  std::size_t seen = 0;
  for (std::size_t step = 0; !found && step < kStandInSteps; ++step) {
    state_.subset.sample_next(others, examined_);
    found = collect_candidates(request, Filter::kHealthyAndUntried);
    if ((seen += examined_.size()) >= others.size) break;
  }
  if (!found && !collect_candidates(request, Filter::kUntried) && !collect_candidates(request, Filter::kAny))
    return std::nullopt;
  // A replica with nothing in flight would always take the larger of two, so weight counts in the draw too.
  const auto& [first, first_weight] = candidates_.draw(state_.random);
  const auto& [second, second_weight] = candidates_.draw(state_.random);
  const EndpointSet& endpoints = state_.endpoints;
  return endpoints[second].in_flight * first_weight < endpoints[first].in_flight * second_weight ? second
                                                                                                 : first;
}

// Whether there is a candidate among the examined endpoints.
bool EndpointSelection::collect_candidates(const PendingRequest& request, Filter filter) {
  candidates_.clear();
  remote_weight_ = remote_weight();
  for (const std::uint32_t slot : examined_) {
    EndpointRecord& record = state_.endpoints[slot];
    if (filter == Filter::kHealthyAndUntried && state_.outliers.is_outlier(record, state_.now)) continue;
    if (!concurrency_.endpoint_has_capacity(record)) continue;
    if (filter != Filter::kAny && request.was_sent_to(record.hash)) continue;
    if (!in_dedup_scope(request, record) || !slow_start_.allows(record)) continue;
    candidates_.add(slot, selection_weight(record));
  }
  return !candidates_.empty();
}

bool EndpointSelection::in_dedup_scope(const PendingRequest& request, const EndpointRecord& record) const {
  const RequestClass& c = *request.rules;
  for (const Attempt& a : request.attempts) {
    if (!a.may_have_run() || c.idempotency == Idempotency::kIdempotent) continue;
    if (c.idempotency == Idempotency::kNotIdempotent || state_.now > a.sent_at() + c.dedup_window)
      return false;
    if (c.dedup_scope == DedupScope::kZone && a.zone() != record.advertised.zone) return false;
    if (c.dedup_scope == DedupScope::kCell && a.cell() != record.advertised.cell) return false;
  }
  return true;
}

// All endpoints that may get the next attempt. Where only some drop duplicates of what may have run, random
// samples of many endpoints would miss those.
support::CircularRange EndpointSelection::reachable(const PendingRequest& request) const {
  const EndpointSet& endpoints = state_.endpoints;
  const RequestClass& c = *request.rules;
  const bool bound = c.idempotency == Idempotency::kIdempotencyKey && c.dedup_scope != DedupScope::kAll;
  if (!bound || endpoints.ready().size() <= kMostExamined) return endpoints.all();
  for (const Attempt& a : request.attempts) {
    if (!a.may_have_run()) continue;
    return c.dedup_scope == DedupScope::kZone ? endpoints.in_zone(a.zone()) : endpoints.in_cell(a.cell());
  }
  return endpoints.all();
}

// The weight of a remote endpoint against a local one: it grows as other zones respond more quickly.
double EndpointSelection::remote_weight() const {
  const auto local = local_latency_.at(state_.now), remote = remote_latency_.at(state_.now);
  const double idle = state_.traffic.idle_latency.value();
  const double hoped = idle / std::max(state_.traffic.latency.mean, idle);  // of zones not tried lately
  const double better = (local.sum + 1) * (remote.weight + 1) / ((remote.sum + hoped) * (local.weight + 1));
  return kRemotePart * std::max(0.0, std::pow(better, kZonePower) - kZoneChance) /
         state_.settings.cross_zone_cost;
}

// How much of the traffic an endpoint should get: by its size and how quickly it responds now.
double EndpointSelection::selection_weight(const EndpointRecord& record) const {
  return (is_remote(record) ? remote_weight_ : 1) * record.advertised.weight /
         std::pow(state_.outliers.relative_latency(record, state_.now), kLatencyPower);
}

void EndpointSelection::record_latency(const EndpointRecord& record, double latency) {
  const double relative = latency / std::max(state_.traffic.latency.mean, kLeastTierLatency);
  (is_remote(record) ? remote_latency_ : local_latency_).add(state_.now, std::min(relative, kOutlierLatency));
}

}  // namespace asterdrift::balancer
