// A fixed order of servers that are many: found by position, changed one at a time.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace asterdrift::balancer {

// Entries in blocks, and where each block starts. A search takes O(log n); a change moves the entries of one
// block and counts on over the blocks, of which there are about n / 48. Not one sorted vector: its changes
// move n entries, and where a zone goes or comes each of its servers is a change. Not a tree with counts: it
// takes 56 bytes an entry against 12, and longer to find a position, for changes that are about as quick.
class Ranking {
 public:
  struct Entry {
    std::uint32_t key = 0, slot = 0;  // what it is sorted by first, and the server's slot
  };

  std::size_t size() const { return size_; }

  Entry operator[](std::size_t at) const {
    const std::size_t b = block_of(at);
    return blocks_[b][at - starts_[b]];
  }

  // The first position whose entry is not before something.
  template <class Before>
  std::size_t first_not(const Before& before) const {
    const auto block = std::partition_point(blocks_.begin(), blocks_.end(),
                                            [&](const Block& b) { return before(b.back()); });
    if (block == blocks_.end()) return size_;
    const auto at = std::partition_point(block->begin(), block->end(), before);
    return starts_[static_cast<std::size_t>(block - blocks_.begin())] +
           static_cast<std::size_t>(at - block->begin());
  }

  void insert(std::size_t at, Entry entry) {
    if (blocks_.empty()) add_block(0);
    std::size_t b = block_of(at);
    if (blocks_[b].size() == kBlock) {
      add_block(b + 1);
      const auto half = blocks_[b].begin() + kBlock / 2;
      blocks_[b + 1].assign(half, blocks_[b].end());
      blocks_[b].erase(half, blocks_[b].end());
      starts_[b + 1] = starts_[b] + kBlock / 2;
      if (at > starts_[b + 1]) ++b;
    }
    blocks_[b].insert(blocks_[b].begin() + static_cast<std::ptrdiff_t>(at - starts_[b]), entry);
    ++size_;
    while (++b < starts_.size()) ++starts_[b];
  }

  void erase(std::size_t at) {
    std::size_t b = block_of(at);
    blocks_[b].erase(blocks_[b].begin() + static_cast<std::ptrdiff_t>(at - starts_[b]));
    --size_;
    for (std::size_t i = b + 1; i < starts_.size(); ++i) --starts_[i];
    if (blocks_[b].empty()) return drop_block(b);
    if (b + 1 == blocks_.size() && b > 0) --b;
    if (b + 1 == blocks_.size() || blocks_[b].size() + blocks_[b + 1].size() > kBlock / 2) return;
    blocks_[b].insert(blocks_[b].end(), blocks_[b + 1].begin(), blocks_[b + 1].end());
    drop_block(b + 1);
  }

  void clear() {
    blocks_.clear();
    starts_.clear();
    size_ = 0;
  }

  // Adds one behind all others.
  void append(Entry entry) {
    if (blocks_.empty() || blocks_.back().size() >= kFill) add_block(blocks_.size());
    blocks_.back().push_back(entry);
    ++size_;
  }

  template <class Use>
  void walk(std::size_t at, std::size_t count, const Use& use) const {
    if (count == 0) return;
    std::size_t b = block_of(at);
    for (std::size_t i = at - starts_[b]; count > 0; ++b, i = 0) {
      for (; i < blocks_[b].size() && count > 0; ++i, --count) use(blocks_[b][i].slot);
    }
  }

 private:
  using Block = std::vector<Entry>;  // none is empty
  static constexpr std::size_t kBlock = 64, kFill = 48;

  std::size_t block_of(std::size_t at) const {
    return static_cast<std::size_t>(std::upper_bound(starts_.begin(), starts_.end(), at) - starts_.begin()) -
           1;
  }

  void add_block(std::size_t b) {
    blocks_.emplace(blocks_.begin() + static_cast<std::ptrdiff_t>(b))->reserve(kBlock);
    starts_.insert(starts_.begin() + static_cast<std::ptrdiff_t>(b), static_cast<std::uint32_t>(size_));
  }

  void drop_block(std::size_t b) {
    blocks_.erase(blocks_.begin() + static_cast<std::ptrdiff_t>(b));
    starts_.erase(starts_.begin() + static_cast<std::ptrdiff_t>(b));
  }

  std::vector<Block> blocks_;
  std::vector<std::uint32_t> starts_;
  std::size_t size_ = 0;
};

// A part of a circle of entries: `size` of them from `start`, where `around` of them, from `base`, are the
// circle.
struct Arc {
  const Ranking* in = nullptr;
  std::size_t base = 0, around = 0, start = 0, size = 0;

  // Adds the slots of a run of it, which begins anew at its end.
  void collect(std::size_t skip, std::size_t count, std::vector<std::uint32_t>& out) const {
    while (count > 0 && size > 0) {
      const std::size_t from = (start + skip) % around;
      const std::size_t run = std::min({count, size - skip, around - from});
      in->walk(base + from, run, [&](std::uint32_t slot) { out.push_back(slot); });
      count -= run;
      skip = (skip + run) % size;
    }
  }
};

}  // namespace asterdrift::balancer
