// Applies endpoint updates to the records and their indexes.
#include "balancer/endpoint_set.h"

#include <algorithm>
#include <array>

namespace asterdrift::balancer {

using support::OrderedIndex;

// The indexes are rebuilt if an update changes more than about one in this many endpoints.
constexpr std::size_t kRebuildDivisor = 16;
// Each call of track() checks this many endpoints, so that more endpoints can be untracked than are added.
constexpr int kChecksPerTrackedEndpoint = 2;

// The record of a new process at the address of a previous one, without the statistics of the previous
// process. The initial tokens are random, since all replicas are notified at the same time and must not send
// their first requests at the same time.
static EndpointRecord make_restarted_record(const EndpointRecord& previous, Seconds now,
                                            std::uint64_t responses, support::Random& random) {
  const double rounding_offset = random.unit();
  const support::TokenBucket tokens(random.unit());
  return {.hash = previous.hash,
          .in_flight = previous.in_flight,
          .indexed = previous.indexed,
          .tracked = previous.tracked,
          .slow_start = {tokens, tokens, now, responses},
          .sent_at_sum = previous.sent_at_sum,
          .first_seen_at = now,
          .rounding_offset = rounding_offset};
}

void EndpointSet::apply(const EndpointUpdate& update, Seconds now, std::uint64_t responses,
                        support::Random& random) {
  const bool is_snapshot = update.form == EndpointUpdate::Form::kSnapshot;
  for (std::uint32_t slot = 0; is_snapshot && slot < size(); ++slot) records_[slot].listed = false;
  for (const Endpoint& advertised : update.endpoints) apply(advertised, now, responses, random);
  for (std::uint32_t slot = 0; is_snapshot && slot < size(); ++slot) remove_if_unlisted(slot);
  finish_update();
}

void EndpointSet::apply(const Endpoint& advertised, Seconds now, std::uint64_t responses,
                        support::Random& random) {
  const auto [slot, is_new] = records_.find_or_add(advertised.address);
  EndpointRecord& record = records_[slot];
  const Endpoint& previous = record.advertised;
  const bool is_ready = advertised.state == EndpointState::kReady;
  const bool has_moved = advertised.weight != previous.weight || advertised.zone != previous.zone ||
                         advertised.cell != previous.cell;
  if (record.indexed && (!is_ready || has_moved)) set_indexed(slot, false);
  if (is_new || advertised.started_at != previous.started_at)
    record = make_restarted_record(record, now, responses, random);
  record.advertised = advertised;
  record.listed = true;
  if (!(record.advertised.weight > 0)) record.advertised.weight = 1;
  if (is_ready && !record.indexed && !must_rebuild_) set_indexed(slot, true);
  if (advertised.state == EndpointState::kRemoved) removed_.push_back(slot);
}

// Removes an endpoint that the current snapshot does not contain.
void EndpointSet::remove_if_unlisted(std::uint32_t slot) {
  EndpointRecord& record = records_[slot];
  if (record.listed || record.advertised.state == EndpointState::kRemoved) return;
  if (record.indexed) set_indexed(slot, false);
  record.advertised.state = EndpointState::kRemoved;
  removed_.push_back(slot);
}

void EndpointSet::finish_update() {
  std::sort(removed_.begin(), removed_.end());
  removed_.erase(std::unique(removed_.begin(), removed_.end()), removed_.end());
  std::erase_if(removed_, [this](std::uint32_t slot) { return finish_removal(slot); });
  if (must_rebuild_) rebuild_indexes();
  index_changes_ = 0;
  if (ready_.size() <= kMaxExaminedEndpoints) sum_weights();
}

// Releases the slot of a removed endpoint without requests in flight. Returns false if the slot has to be
// kept because of requests in flight, and true if it is released or the endpoint has been listed again.
bool EndpointSet::finish_removal(std::uint32_t slot) {
  EndpointRecord& record = records_[slot];
  if (record.advertised.state != EndpointState::kRemoved) return true;
  if (record.in_flight > 0) return false;
  records_.remove(slot);
  record = {.tracked = record.tracked};
  record.advertised.state = EndpointState::kRemoved;
  return true;
}

void EndpointSet::track(std::size_t slot, Seconds now) {
  if (!records_[slot].tracked) tracked_.push_back(static_cast<std::uint32_t>(slot));
  records_[slot].tracked = true;
  for (int check = 0; check < kChecksPerTrackedEndpoint; ++check) {
    next_tracked_ = (next_tracked_ + 1) % tracked_.size();
    EndpointRecord& record = records_[tracked_[next_tracked_]];
    if (tracked_[next_tracked_] == slot || record.in_flight > 0) continue;
    if (record.latency.at(now).sum >= kMinTrackedLatency) continue;
    record.tracked = false;
    tracked_[next_tracked_] = tracked_.back();
    tracked_.pop_back();
  }
}

// Adds an endpoint to the indexes or removes it. After too many changes by one update the indexes are cleared
// instead, and rebuilt at the end of the update.
void EndpointSet::set_indexed(std::uint32_t slot, bool indexed) {
  if (++index_changes_ > kMaxExaminedEndpoints + ready_.size() / kRebuildDivisor) return clear_indexes();
  EndpointRecord& record = records_[slot];
  const auto update_index = [&](OrderedIndex& index, std::uint32_t key) {
    indexed ? records_.insert_into(index, key, slot) : records_.erase_from(index, key, slot);
  };
  record.indexed = indexed;
  ready_weight_ += indexed ? record.advertised.weight : -record.advertised.weight;
  update_index(ready_, records_.to_key(record.hash));
  if (record.advertised.zone != zone_) update_index(other_zones_, records_.to_key(record.hash));
  update_index(by_zone_, to_key(record.advertised.zone));
  update_index(by_cell_, to_key(record.advertised.cell));
}

void EndpointSet::clear_indexes() {
  must_rebuild_ = true;
  ready_weight_ = 0;
  ready_.for_each_slot(0, ready_.size(), [this](std::uint32_t slot) { records_[slot].indexed = false; });
  for (OrderedIndex* index : {&ready_, &other_zones_, &by_zone_, &by_cell_}) index->clear();
}

void EndpointSet::rebuild_indexes() {
  must_rebuild_ = false;
  std::vector<OrderedIndex::Entry> zones, cells;
  records_.in_use().for_each_slot(0, records_.in_use().size(), [&](std::uint32_t slot) {
    EndpointRecord& record = records_[slot];
    if (record.advertised.state != EndpointState::kReady) return;
    record.indexed = true;
    ready_weight_ += record.advertised.weight;
    ready_.append({records_.to_key(record.hash), slot});
    if (record.advertised.zone != zone_) other_zones_.append({records_.to_key(record.hash), slot});
    zones.push_back({to_key(record.advertised.zone), slot});
    cells.push_back({to_key(record.advertised.cell), slot});
  });
  by_zone_.assign(std::move(zones));
  by_cell_.assign(std::move(cells));
}

// Adds the weights in the order of the slots, so that the rounding of the sum does not depend on previous
// updates.
void EndpointSet::sum_weights() {
  std::array<std::uint32_t, kMaxExaminedEndpoints> slots;
  std::size_t count = 0;
  ready_.for_each_slot(0, ready_.size(), [&](std::uint32_t slot) { slots[count++] = slot; });
  std::sort(slots.begin(), slots.begin() + count);
  ready_weight_ = 0;
  for (std::size_t i = 0; i < count; ++i) ready_weight_ += records_[slots[i]].advertised.weight;
}

}  // namespace asterdrift::balancer
