// The blocks of an order-statistics list.
#include "support/ordered_index.h"

namespace asterdrift::support {
namespace {

constexpr std::size_t kBlockCapacityEntries = 64;
constexpr std::size_t kAppendedBlockEntries = 48;  // number of entries in a block built by append()

std::ptrdiff_t to_offset(std::size_t position) { return static_cast<std::ptrdiff_t>(position); }

}  // namespace

OrderedIndex::Entry OrderedIndex::operator[](std::size_t position) const {
  const std::size_t block = find_block(position);
  return blocks_[block][position - starts_[block]];
}

CircularRange OrderedIndex::range() const { return {this, 0, size_, 0, size_}; }

CircularRange OrderedIndex::equal_range(std::uint32_t key) const {
  const std::size_t begin = partition_point([=](Entry entry) { return entry.key < key; });
  const std::size_t end = partition_point([=](Entry entry) { return entry.key <= key; });
  return {this, begin, end - begin, 0, end - begin};
}

void OrderedIndex::insert(std::size_t position, Entry entry) {
  if (blocks_.empty()) insert_block(0);
  std::size_t block = find_block(position);
  if (blocks_[block].size() == kBlockCapacityEntries) {
    split(block);
    if (position > starts_[block + 1]) ++block;
  }
  blocks_[block].insert(blocks_[block].begin() + to_offset(position - starts_[block]), entry);
  ++size_;
  while (++block < starts_.size()) ++starts_[block];
}

void OrderedIndex::erase(std::size_t position) {
  std::size_t block = find_block(position);
  blocks_[block].erase(blocks_[block].begin() + to_offset(position - starts_[block]));
  --size_;
  for (std::size_t i = block + 1; i < starts_.size(); ++i) --starts_[i];
  if (blocks_[block].empty()) return erase_block(block);
  // Merges small adjacent blocks, so that blocks stay about half full.
  if (block + 1 == blocks_.size() && block > 0) --block;
  if (block + 1 == blocks_.size()) return;
  if (blocks_[block].size() + blocks_[block + 1].size() > kBlockCapacityEntries / 2) return;
  blocks_[block].insert(blocks_[block].end(), blocks_[block + 1].begin(), blocks_[block + 1].end());
  erase_block(block + 1);
}

void OrderedIndex::clear() {
  blocks_.clear();
  starts_.clear();
  size_ = 0;
}

void OrderedIndex::assign(std::vector<Entry> entries) {
  clear();
  std::stable_sort(entries.begin(), entries.end(), [](Entry a, Entry b) { return a.key < b.key; });
  for (const Entry entry : entries) append(entry);
}

void OrderedIndex::append(Entry entry) {
  if (blocks_.empty() || blocks_.back().size() >= kAppendedBlockEntries) insert_block(blocks_.size());
  blocks_.back().push_back(entry);
  ++size_;
}

std::size_t OrderedIndex::find_block(std::size_t position) const {
  const auto next = std::upper_bound(starts_.begin(), starts_.end(), position);
  return static_cast<std::size_t>(next - starts_.begin()) - 1;
}

void OrderedIndex::insert_block(std::size_t block) {
  blocks_.emplace(blocks_.begin() + to_offset(block))->reserve(kBlockCapacityEntries);
  starts_.insert(starts_.begin() + to_offset(block), static_cast<std::uint32_t>(size_));
}

void OrderedIndex::erase_block(std::size_t block) {
  blocks_.erase(blocks_.begin() + to_offset(block));
  starts_.erase(starts_.begin() + to_offset(block));
}

void OrderedIndex::split(std::size_t block) {
  insert_block(block + 1);
  const auto half = blocks_[block].begin() + kBlockCapacityEntries / 2;
  blocks_[block + 1].assign(half, blocks_[block].end());
  blocks_[block].erase(half, blocks_[block].end());
  starts_[block + 1] = starts_[block] + kBlockCapacityEntries / 2;
}

void CircularRange::collect(std::size_t offset, std::size_t count, std::vector<std::uint32_t>& slots) const {
  while (count > 0 && size > 0) {
    const std::size_t from = (start + offset) % circumference;
    const std::size_t run = std::min({count, size - offset, circumference - from});
    index->for_each_slot(base + from, run, [&](std::uint32_t slot) { slots.push_back(slot); });
    count -= run;
    offset = (offset + run) % size;
  }
}

}  // namespace asterdrift::support
