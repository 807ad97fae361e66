// Who is there: the servers that a copy has been told of, and what it has seen of each.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "cold.h"
#include "support.h"

namespace asterdrift::balancer {

constexpr double kAnsweredMemory = 2;     // s; smoothing of the rate at which a server answers this copy
constexpr double kAnswerMemory = 8;       // s; older answers tell nothing: a shunned server is tried again
constexpr double kMostAnswers = 4;        // calls; more would hide a change from a copy with many calls
constexpr double kLeastTrace = 0.01;      // parts of the aim; answers that have faded below it shun no server
constexpr std::size_t kMostLooked = 64;   // servers looked at in one step of a choice; of fewer, each one
constexpr std::size_t kManyChanges = 16;  // where an update changes a larger part, all are ranked anew

struct ServerNode {
  Endpoint told;
  std::uint64_t order = 0;
  int in_flight = 0;
  bool ranked = false, traced = false, named = false;  // named: on the last full list, or since
  ColdTokens cold;
  support::DecayingRate answered{kAnsweredMemory};
  support::DecayingMean answers{kAnswerMemory, kMostAnswers};  // answer times, as parts of the aim
  double sent_sum = 0;                                         // send times of the calls in flight, added up
  double met_at = 0, dither = 0;
};

// Each server has a slot for as long as it is there or has calls in flight. Danger: where servers are
// replaced all day, slots that are never used again, and what was seen of those servers, grow without end.
class Members {
 public:
  explicit Members(int zone = 0) : zone_(zone) {}

  std::size_t size() const { return size_; }
  ServerNode& operator[](std::size_t slot) { return (++looked_, (*chunks_[slot / kChunk])[slot % kChunk]); }
  const ServerNode& operator[](std::size_t slot) const {
    return (++looked_, (*chunks_[slot / kChunk])[slot % kChunk]);
  }

  // Those that are ready, in their order: all, those of other zones, and those of one zone or cell.
  const OrderedIndex& ready() const { return ready_; }
  support::CircularRange all() const { return circle(ready_); }
  support::CircularRange far() const { return circle(far_); }
  support::CircularRange of_zone(int zone) const { return of(by_zone_, zone); }
  support::CircularRange of_cell(int cell) const { return of(by_cell_, cell); }
  double ready_weight() const { return ready_weight_; }

  // answers: those that this copy has had by now.
  void learn(const EndpointUpdate& update, double now, std::uint64_t answers, Random& random) {
    const bool full = update.form == EndpointUpdate::Form::kSnapshot;
    for (std::uint32_t slot = 0; full && slot < size_; ++slot) (*this)[slot].named = false;
    for (const Endpoint& told : update.endpoints) learn(told, now, answers, random);
    for (std::uint32_t slot = 0; full && slot < size_; ++slot) {
      ServerNode& s = (*this)[slot];
      if (s.named || s.told.state == EndpointState::kRemoved) continue;  // what a full list lacks is gone
      if (s.ranked) unrank(slot);
      s.told.state = EndpointState::kRemoved;
      gone_.push_back(slot);
    }
    forget_gone();
  }

  void learn(const Endpoint& told, double now, std::uint64_t answers, Random& random) {
    const std::uint64_t order = support::hash_text(told.address);
    const std::size_t at = known_.partition_point([&](OrderedIndex::Entry e) {
      return e.key != key_of(order) ? e.key < key_of(order) : is_before((*this)[e.slot], order, told.address);
    });
    const bool unknown = at == known_.size() || (*this)[known_[at].slot].told.address != told.address;
    const std::uint32_t slot = unknown ? take_slot() : known_[at].slot;
    if (unknown) known_.insert(at, {key_of(order), slot});
    ServerNode& s = (*this)[slot];
    const bool is_ready = told.state == EndpointState::kReady;
    const bool moves = told.weight != s.told.weight || told.zone != s.told.zone || told.cell != s.told.cell;
    if (s.ranked && (!is_ready || moves)) unrank(slot);
    if (unknown || told.started_at != s.told.started_at) {
      ServerNode fresh;  // another process: what the last one did says nothing
      fresh.order = order;
      fresh.in_flight = s.in_flight;
      fresh.ranked = s.ranked;
      fresh.traced = s.traced;
      fresh.sent_sum = s.sent_sum;
      fresh.met_at = fresh.cold.at = now;
      fresh.cold.seen = answers;
      fresh.dither = random.unit();
      fresh.cold.held = fresh.cold.earned =
          random.unit();  // copies hear of a start together and must not send together
      s = fresh;
    }
    s.told = told;
    s.named = true;
    if (!(s.told.weight > 0)) s.told.weight = 1;
    if (is_ready && !s.ranked && !all_anew_) rank(slot);
    if (s.told.state == EndpointState::kRemoved) gone_.push_back(slot);
  }

  // A call has gone to a server, or come back: it may have become slow.
  void trace(std::size_t slot, double now) {
    if (!(*this)[slot].traced) traced_.push_back(static_cast<std::uint32_t>(slot));
    (*this)[slot].traced = true;
    for (int i = 0; i < 2; ++i) {  // more than one is added
      next_traced_ = (next_traced_ + 1) % traced_.size();
      ServerNode& s = (*this)[traced_[next_traced_]];
      if (traced_[next_traced_] == slot || s.in_flight > 0 || s.answers.at(now).sum >= kLeastTrace) continue;
      s.traced = false;
      traced_[next_traced_] = traced_.back();
      traced_.pop_back();
    }
  }

  // Shunned servers are avoided only while others are well: where none is, all are sent to again. One that
  // has not answered lately is not shunned.
  template <class Shunned>
  EndpointSetView view(const Shunned& shunned) const {
    EndpointSetView out;
    const std::size_t ready = ready_.size();
    std::size_t ill = 0;
    for (const std::uint32_t slot : traced_) {
      const ServerNode& s = (*this)[slot];
      if (s.ranked && shunned(s)) ++ill;
    }
    out.listed = known_.size() - gone_.size();
    out.unavailable = out.listed - ready + (ill < ready ? ill : 0);
    out.examined = looked_;
    return out;
  }

  void forget_gone() {
    std::sort(gone_.begin(), gone_.end());
    gone_.erase(std::unique(gone_.begin(), gone_.end()), gone_.end());
    std::erase_if(gone_, [this](std::uint32_t slot) {
      ServerNode& s = (*this)[slot];
      if (s.told.state != EndpointState::kRemoved) return true;
      if (s.in_flight > 0) return false;
      known_.erase(place(known_, key_of(s.order), s));
      const bool traced = s.traced;
      s = ServerNode();
      s.told.state = EndpointState::kRemoved;
      s.traced = traced;
      free_.push_back(slot);
      return true;
    });
    if (all_anew_) rank_all();
    changes_ = 0;
    if (ready_.size() <= kMostLooked) add_up_weights();
  }

 private:
  static constexpr std::size_t kChunk = 16;
  using Chunk = std::array<ServerNode, kChunk>;

  static std::uint32_t key_of(std::uint64_t order) { return static_cast<std::uint32_t>(order >> 32); }
  static std::uint32_t key_of(int number) { return static_cast<std::uint32_t>(number); }

  static bool is_before(const ServerNode& s, std::uint64_t order, const std::string& address) {
    return s.order != order ? s.order < order : s.told.address < address;
  }

  // Where a server stands, or would, among those with its key.
  std::size_t place(const OrderedIndex& in, std::uint32_t key, const ServerNode& s) const {
    return in.partition_point([&](OrderedIndex::Entry e) {
      return e.key != key ? e.key < key : is_before((*this)[e.slot], s.order, s.told.address);
    });
  }

  static support::CircularRange circle(const OrderedIndex& in) { return {&in, 0, in.size(), 0, in.size()}; }
  static support::CircularRange of(const OrderedIndex& in, int number) {
    const std::size_t from =
        in.partition_point([=](OrderedIndex::Entry e) { return e.key < key_of(number); });
    const std::size_t end =
        in.partition_point([=](OrderedIndex::Entry e) { return e.key <= key_of(number); });
    return {&in, from, end - from, 0, end - from};
  }

  std::uint32_t take_slot() {
    if (free_.empty()) {
      if (size_ % kChunk == 0) chunks_.push_back(std::make_unique<Chunk>());
      return static_cast<std::uint32_t>(size_++);
    }
    const std::uint32_t slot = free_.back();
    free_.pop_back();
    return slot;
  }

  void rank(std::uint32_t slot) {
    if (++changes_ > kMostLooked + ready_.size() / kManyChanges) return unrank_all();
    ServerNode& s = (*this)[slot];
    s.ranked = true;
    ready_weight_ += s.told.weight;
    for_rankings(s, [&](OrderedIndex& in, std::uint32_t key) { in.insert(place(in, key, s), {key, slot}); });
  }

  void unrank(std::uint32_t slot) {
    if (++changes_ > kMostLooked + ready_.size() / kManyChanges) return unrank_all();
    ServerNode& s = (*this)[slot];
    s.ranked = false;
    ready_weight_ -= s.told.weight;
    for_rankings(s, [&](OrderedIndex& in, std::uint32_t key) { in.erase(place(in, key, s)); });
  }

  template <class Use>
  void for_rankings(const ServerNode& s, const Use& use) {
    use(ready_, key_of(s.order));
    if (s.told.zone != zone_) use(far_, key_of(s.order));
    use(by_zone_, key_of(s.told.zone));
    use(by_cell_, key_of(s.told.cell));
  }

  void unrank_all() {
    all_anew_ = true;
    ready_weight_ = 0;
    ready_.for_each_slot(0, ready_.size(), [this](std::uint32_t slot) { (*this)[slot].ranked = false; });
    for (OrderedIndex* in : {&ready_, &far_, &by_zone_, &by_cell_}) in->clear();
  }

  void rank_all() {
    all_anew_ = false;
    known_.for_each_slot(0, known_.size(), [&](std::uint32_t slot) {
      ServerNode& s = (*this)[slot];
      if (s.told.state != EndpointState::kReady) return;
      s.ranked = true;
      ready_weight_ += s.told.weight;
      ready_.append({key_of(s.order), slot});
      if (s.told.zone != zone_) far_.append({key_of(s.order), slot});
    });
    append_sorted(by_zone_, &Endpoint::zone);
    append_sorted(by_cell_, &Endpoint::cell);
  }

  void append_sorted(OrderedIndex& to, int Endpoint::*number) {
    std::vector<OrderedIndex::Entry> all;
    all.reserve(ready_.size());
    ready_.for_each_slot(0, ready_.size(), [&](std::uint32_t slot) {
      all.push_back({key_of((*this)[slot].told.*number), slot});
    });
    std::stable_sort(all.begin(), all.end(), [](auto a, auto b) { return a.key < b.key; });
    for (const OrderedIndex::Entry e : all) to.append(e);
  }

  // In the order of the slots, so that a sum does not tell of what has gone meanwhile.
  void add_up_weights() {
    std::array<std::uint32_t, kMostLooked> slots;
    std::size_t count = 0;
    ready_.for_each_slot(0, ready_.size(), [&](std::uint32_t slot) { slots[count++] = slot; });
    std::sort(slots.begin(), slots.begin() + count);
    ready_weight_ = 0;
    for (std::size_t i = 0; i < count; ++i) ready_weight_ += (*this)[slots[i]].told.weight;
  }

  int zone_;
  std::vector<std::unique_ptr<Chunk>> chunks_;  // not one vector: it would be copied whole to grow
  std::size_t size_ = 0;
  std::vector<std::uint32_t> free_, gone_, traced_;
  std::size_t next_traced_ = 0;
  std::size_t changes_ = 0;  // of the rankings, by the update that is taken in
  bool all_anew_ = false;    // they are too many: the rankings are made anew at its end
  OrderedIndex known_, ready_, far_, by_zone_, by_cell_;
  double ready_weight_ = 0;
  mutable std::uint64_t looked_ = 0;
};

}  // namespace asterdrift::balancer
