// A sorted sequence of slot numbers with access by position (order-statistics list).
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace asterdrift::support {

struct CircularRange;

// Entries in blocks, with the position at which each block starts. A search takes O(log n); an insertion or
// removal moves the entries of one block and updates the starts of the blocks behind it, of which there are
// about n / 48. One sorted vector would move n entries for each change, and losing a zone changes each of its
// entries; a tree with counts takes 56 bytes an entry against 12 and longer to find a position.
class OrderedIndex {
 public:
  struct Entry {
    std::uint32_t key = 0;  // sorted by this first; the caller breaks ties
    std::uint32_t slot = 0;
  };

  std::size_t size() const { return size_; }
  Entry operator[](std::size_t position) const;

  // The first position whose entry does not satisfy `is_before`, which has to partition the index.
  template <class Predicate>
  std::size_t partition_point(const Predicate& is_before) const {
    const auto block = std::partition_point(
        blocks_.begin(), blocks_.end(), [&](const Block& candidate) { return is_before(candidate.back()); });
    if (block == blocks_.end()) return size_;
    const auto entry = std::partition_point(block->begin(), block->end(), is_before);
    return starts_[static_cast<std::size_t>(block - blocks_.begin())] +
           static_cast<std::size_t>(entry - block->begin());
  }

  // All entries, and those with one key.
  CircularRange range() const;
  CircularRange range_of(std::uint32_t key) const;

  void insert(std::size_t position, Entry entry);
  void erase(std::size_t position);
  void clear();
  // Replaces all entries; sorts them by key, those with equal keys in the order in which they are given.
  void assign(std::vector<Entry> entries);
  // Adds an entry behind all others.
  void append(Entry entry);

  // Calls `use` with the slots of `count` entries from a position on.
  template <class Use>
  void for_each_slot(std::size_t position, std::size_t count, const Use& use) const {
    if (count == 0) return;
    std::size_t block = block_of(position);
    for (std::size_t i = position - starts_[block]; count > 0; ++block, i = 0) {
      for (; i < blocks_[block].size() && count > 0; ++i, --count) use(blocks_[block][i].slot);
    }
  }

 private:
  using Block = std::vector<Entry>;  // never empty

  std::size_t block_of(std::size_t position) const;
  void insert_block(std::size_t block);
  void erase_block(std::size_t block);
  void split(std::size_t block);

  std::vector<Block> blocks_;
  std::vector<std::uint32_t> starts_;
  std::size_t size_ = 0;
};

// A part of a circle of entries: `size` of them from `start`, where the circle consists of the
// `circumference` entries from position `base` of an index. The index has to outlive it and not to change.
struct CircularRange {
  const OrderedIndex* index = nullptr;
  std::size_t base = 0;
  std::size_t circumference = 0;
  std::size_t start = 0;
  std::size_t size = 0;

  // Adds to `out` the slots of `count` entries of the range from its `offset` on; it wraps at its end.
  void collect(std::size_t offset, std::size_t count, std::vector<std::uint32_t>& out) const;
};

}  // namespace asterdrift::support
