// A table of hashes in shared memory. Each entry is one atomic word, so that no process ever sees a part of
// an entry, whenever another one is killed.
#include "node/dispatch/request_history.h"

#include <algorithm>
#include <atomic>

namespace asterdrift::node::dispatch {
namespace {

constexpr unsigned kTimeBits = 13;
constexpr std::uint64_t kTimeMask = (std::uint64_t{1} << kTimeBits) - 1;
static_assert(RequestHistory::kRetention < static_cast<Seconds>(kTimeMask) / 2);

// FNV-1a, with the final mix of MurmurHash3. All versions of the program have to use the same hash.
std::uint64_t hash_of(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccd;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53;
  return hash ^ (hash >> 33);
}

// The bits of a hash that an entry has; never 0.
std::uint64_t tag_of(std::uint64_t hash) { return (hash & ~kTimeMask) | (std::uint64_t{1} << kTimeBits); }

std::uint64_t second_of(Seconds now) { return static_cast<std::uint64_t>(now) & kTimeMask; }

// How long ago an entry was inserted, in seconds.
std::uint64_t age_of(std::uint64_t entry, Seconds now) { return (second_of(now) - entry) & kTimeMask; }

bool is_current(std::uint64_t entry, Seconds now) {
  return entry != 0 && age_of(entry, now) <= static_cast<std::uint64_t>(RequestHistory::kRetention);
}

bool has_tag(std::uint64_t entry, std::uint64_t tag) { return (entry & ~kTimeMask) == tag; }

}  // namespace

RequestHistory::RequestHistory(const std::string& path)
    : memory_(path, kSets * kEntriesPerSet * sizeof(Entry)) {}

RequestHistory::Set RequestHistory::find_set(std::uint64_t hash) const {
  Entry* const first = static_cast<Entry*>(memory_.data()) + (hash % kSets) * kEntriesPerSet;
  return Set(first, kEntriesPerSet);
}

bool RequestHistory::contains(std::string_view client_request_id, Seconds now) const {
  const std::uint64_t hash = hash_of(client_request_id);
  return std::ranges::any_of(find_set(hash), [&](Entry& entry) {
    const Entry value = std::atomic_ref(entry).load();
    return has_tag(value, tag_of(hash)) && is_current(value, now);
  });
}

// If two processes insert into one set at the same moment, the later one may replace the other's entry. A
// client does not send so quickly to both.
void RequestHistory::insert(std::string_view client_request_id, Seconds now) {
  const std::uint64_t hash = hash_of(client_request_id);
  const std::uint64_t tag = tag_of(hash);
  const auto age_if_replaced = [&](Entry& entry) {
    const Entry value = std::atomic_ref(entry).load();
    if (has_tag(value, tag)) return 2 * kTimeMask;
    return is_current(value, now) ? age_of(value, now) : kTimeMask;
  };
  Entry& oldest = *std::ranges::max_element(find_set(hash), {}, age_if_replaced);
  std::atomic_ref(oldest).store(tag | second_of(now));
}

void RequestHistory::erase(std::string_view client_request_id) {
  const std::uint64_t hash = hash_of(client_request_id);
  for (Entry& entry : find_set(hash)) {
    if (has_tag(std::atomic_ref(entry).load(), tag_of(hash))) std::atomic_ref(entry).store(0);
  }
}

}  // namespace asterdrift::node::dispatch
