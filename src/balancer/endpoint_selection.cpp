// Collects the candidates for an attempt, assigns weights to them and draws two.
#include "balancer/endpoint_selection.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::balancer {
namespace {

// The upper bound of the samples that count for a zone's latency. It is higher than the bound for one
// endpoint (kMaxLatencySamples), since the latency of a zone is steadier.
constexpr double kMaxZoneSamples = 30;
// The weight of remote endpoints is proportional to this factor divided by the cost of other zones.
constexpr double kRemoteWeightFactor = 0.25;
constexpr double kZoneLatencyExponent = 4;  // how strongly the zones' latencies change the remote weight
// Remote endpoints are used only if the ratio of the local latency to the remote latency, raised to the power
// of kZoneLatencyExponent, exceeds this. Smaller differences may be random.
constexpr double kMinZoneAdvantage = 2.5;
constexpr double kLatencyExponent = 2;  // how strongly latency lowers an endpoint's weight
// The tier's latency counts as at least this fraction of the objective.
constexpr double kMinTierLatencyFraction = 0.01;
// Each step examines up to kMaxExaminedEndpoints endpoints outside the subset.
constexpr std::size_t kMaxFallbackSteps = 4;

}  // namespace

EndpointSelection::EndpointSelection(ReplicaState& state, ConcurrencyLimit& concurrency,
                                     SlowStart& slow_start)
    : state_(state),
      concurrency_(concurrency),
      slow_start_(slow_start),
      local_latency_(kLatencyTimeConstant, kMaxZoneSamples),
      remote_latency_(local_latency_) {}

// Weights count in the draw and in the comparison. The comparison does not count the new request: otherwise a
// replica without requests in flight would always select the endpoint with the larger weight of any two. Now
// such a replica selects the first endpoint, and the draw distributes its requests by weight.
std::optional<std::size_t> EndpointSelection::select(const PendingRequest& request) {
  if (!concurrency_.tier_has_capacity() || !find_candidates(request)) return std::nullopt;
  const auto& [first, first_weight] = candidates_.draw(state_.random);
  const auto& [second, second_weight] = candidates_.draw(state_.random);
  const EndpointSet& endpoints = state_.endpoints;
  const bool second_is_less_busy =
      endpoints[second].in_flight * first_weight < endpoints[first].in_flight * second_weight;
  return second_is_less_busy ? second : first;
}

// If the subset has too few healthy endpoints, endpoints outside the subset replace them. If no endpoint is
// healthy, all have a common problem, and health is ignored. The number of endpoints examined for one request
// is limited: each step continues after the previous one, which may belong to an earlier request. If one
// endpoint in 50 is usable, one request in 170 finds none.
bool EndpointSelection::find_candidates(const PendingRequest& request) {
  state_.subset.sample(state_.random, examined_slots_);
  bool found = collect_candidates(request, Filter::kHealthyAndUntried) &&
               candidates_.size() * 2 >= examined_slots_.size();
  const support::CircularRange others = eligible_range(request);
  std::size_t examined = 0;
  for (std::size_t step = 0; !found && step < kMaxFallbackSteps; ++step) {
    state_.subset.sample_next(others, examined_slots_);
    found = collect_candidates(request, Filter::kHealthyAndUntried);
    examined += examined_slots_.size();
    if (examined >= others.size) break;
  }
  return found || collect_candidates(request, Filter::kUntried) || collect_candidates(request, Filter::kAny);
}

// Collects candidates among the examined endpoints, and returns whether there is at least one.
bool EndpointSelection::collect_candidates(const PendingRequest& request, Filter filter) {
  candidates_.clear();
  remote_weight_ = remote_weight();
  for (const std::uint32_t slot : examined_slots_) {
    EndpointRecord& record = state_.endpoints[slot];
    if (is_candidate(request, record, filter)) candidates_.add(slot, selection_weight(record));
  }
  return !candidates_.empty();
}

// The order of the checks matters: the checks of capacity and of slow start draw random numbers and refill
// budgets.
bool EndpointSelection::is_candidate(const PendingRequest& request, EndpointRecord& record, Filter filter) {
  if (filter == Filter::kHealthyAndUntried && state_.outliers.is_outlier(record, state_.now)) return false;
  if (!concurrency_.endpoint_has_capacity(record)) return false;
  if (filter != Filter::kAny && request.was_sent_to(record.hash)) return false;
  return would_deduplicate(request, record) && slow_start_.allows(record);
}

// Whether the endpoint would deduplicate the request's next attempt against the previous attempts, or no
// deduplication is needed.
bool EndpointSelection::would_deduplicate(const PendingRequest& request, const EndpointRecord& record) const {
  const RequestClass& rules = *request.rules;
  if (rules.idempotency == Idempotency::kIdempotent) return true;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run()) continue;
    if (rules.idempotency == Idempotency::kNotIdempotent) return false;
    if (state_.now > attempt.sent_at() + rules.dedup_window) return false;
    if (rules.dedup_scope == DedupScope::kZone && attempt.zone() != record.advertised.zone) return false;
    if (rules.dedup_scope == DedupScope::kCell && attempt.cell() != record.advertised.cell) return false;
  }
  return true;
}

// The endpoints that may get the next attempt. If only some of many endpoints deduplicate against the
// previous attempts, random samples of all endpoints would miss them, so the range contains only their zone
// or cell.
support::CircularRange EndpointSelection::eligible_range(const PendingRequest& request) const {
  const EndpointSet& endpoints = state_.endpoints;
  const RequestClass& rules = *request.rules;
  const bool is_scoped =
      rules.idempotency == Idempotency::kIdempotencyKey && rules.dedup_scope != DedupScope::kAll;
  if (!is_scoped || endpoints.ready().size() <= kMaxExaminedEndpoints) return endpoints.all();
  const auto attempt = std::ranges::find_if(request.attempts, &Attempt::may_have_run);
  if (attempt == request.attempts.end()) return endpoints.all();
  return rules.dedup_scope == DedupScope::kZone ? endpoints.in_zone(attempt->zone())
                                                : endpoints.in_cell(attempt->cell());
}

bool EndpointSelection::is_remote(const EndpointRecord& record) const {
  return state_.subset.prefers_own_zone() && record.advertised.zone != state_.settings.zone;
}

// The weight of a remote endpoint relative to a local one. The weight grows as other zones respond more
// quickly than the local zone.
double EndpointSelection::remote_weight() const {
  const support::DecayingMean::WeightedSum local = local_latency_.at(state_.now);
  const support::DecayingMean::WeightedSum remote = remote_latency_.at(state_.now);
  const double idle = state_.traffic.idle_latency_fraction.value();
  // The relative latency that is assumed of other zones that were not used lately.
  const double expected = idle / std::max(state_.traffic.latency.mean, idle);
  const double advantage =
      (local.sum + 1) * (remote.weight + 1) / ((remote.sum + expected) * (local.weight + 1));
  return kRemoteWeightFactor * std::max(0.0, std::pow(advantage, kZoneLatencyExponent) - kMinZoneAdvantage) /
         state_.settings.cross_zone_cost;
}

// The traffic that an endpoint should get relative to other endpoints, by its capacity and its latency.
double EndpointSelection::selection_weight(const EndpointRecord& record) const {
  return (is_remote(record) ? remote_weight_ : 1) * record.advertised.weight /
         std::pow(state_.outliers.relative_latency(record, state_.now), kLatencyExponent);
}

void EndpointSelection::record_latency(const EndpointRecord& record, double latency) {
  const double relative = latency / std::max(state_.traffic.latency.mean, kMinTierLatencyFraction);
  (is_remote(record) ? remote_latency_ : local_latency_)
      .add(state_.now, std::min(relative, kOutlierRelativeLatency));
}

}  // namespace asterdrift::balancer
