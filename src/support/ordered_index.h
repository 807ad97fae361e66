// A sorted sequence of slot numbers with access by position.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace asterdrift::support {

struct CircularRange;

// An order-statistics list: entries are stored in blocks, with the position at which each block starts. A
// search takes O(log n). An insertion or removal moves the entries of one block and updates the start
// positions of the blocks after it; there are about n / 48 blocks. One sorted vector would move n entries for
// each change, and a tree with counts would need several times the memory.
class OrderedIndex {
 public:
  struct Entry {
    std::uint32_t key = 0;  // the sort key; the caller determines the order of entries with equal keys
    std::uint32_t slot = 0;
  };

  std::size_t size() const { return size_; }
  Entry operator[](std::size_t position) const;

  // The first position whose entry does not satisfy `is_before`. All entries that satisfy it must come first.
  template <class Predicate>
  std::size_t partition_point(const Predicate& is_before) const {
    const auto block = std::partition_point(
        blocks_.begin(), blocks_.end(), [&](const Block& candidate) { return is_before(candidate.back()); });
    if (block == blocks_.end()) return size_;
    const auto entry = std::partition_point(block->begin(), block->end(), is_before);
    return starts_[static_cast<std::size_t>(block - blocks_.begin())] +
           static_cast<std::size_t>(entry - block->begin());
  }

  // All entries.
  CircularRange range() const;
  // The entries with the given key.
  CircularRange equal_range(std::uint32_t key) const;

  // Inserts an entry before the one at `position`.
  void insert(std::size_t position, Entry entry);
  void erase(std::size_t position);
  void clear();
  // Replaces all entries. Sorts them by key; entries with equal keys stay in the given order.
  void assign(std::vector<Entry> entries);
  // Adds an entry after all others.
  void append(Entry entry);

  // Calls `visit` with the slot of each of `count` entries, starting at `position`.
  template <class Visitor>
  void for_each_slot(std::size_t position, std::size_t count, const Visitor& visit) const {
    if (count == 0) return;
    std::size_t block = find_block(position);
    for (std::size_t i = position - starts_[block]; count > 0; ++block, i = 0) {
      for (; i < blocks_[block].size() && count > 0; ++i, --count) visit(blocks_[block][i].slot);
    }
  }

 private:
  using Block = std::vector<Entry>;  // never empty

  std::size_t find_block(std::size_t position) const;
  void insert_block(std::size_t block);
  void erase_block(std::size_t block);
  void split(std::size_t block);

  std::vector<Block> blocks_;
  std::vector<std::uint32_t> starts_;
  std::size_t size_ = 0;
};

// A range of entries that wraps around. The `circumference` entries of an index from position `base` form a
// ring, and the range is the `size` entries of the ring from `start` on. Valid until the index changes.
struct CircularRange {
  const OrderedIndex* index = nullptr;
  std::size_t base = 0;
  std::size_t circumference = 0;
  std::size_t start = 0;
  std::size_t size = 0;

  // Appends to `slots` the slots of `count` entries of the range from `offset` on, continuing at the
  // beginning of the range after its end.
  void collect(std::size_t offset, std::size_t count, std::vector<std::uint32_t>& slots) const;
};

}  // namespace asterdrift::support
