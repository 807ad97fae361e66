// A container of elements that are found by their name or by the number of their slot.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "support/ordered_index.h"
#include "support/random.h"

namespace asterdrift::support {

// Assigns a numbered slot to each name. Slots are reused after their removal. Elements never move in memory:
// references to them remain valid, and growing the container does not copy elements.
//
// An Element has a member `std::uint64_t hash`, which NamedSlots sets to the hash of the name, and a function
// `const std::string& name() const`.
template <class Element>
class NamedSlots {
 public:
  // Number of slots, including those that are not in use.
  std::size_t size() const { return size_; }
  Element& operator[](std::size_t slot) {
    ++reads_;
    return element(slot);
  }
  const Element& operator[](std::size_t slot) const {
    ++reads_;
    return element(slot);
  }
  // Number of element accesses so far.
  std::uint64_t reads() const { return reads_; }

  // The slots in use, ordered by the hash of their names, then by their names.
  const OrderedIndex& in_use() const { return in_use_; }

  struct FoundSlot {
    std::uint32_t slot;
    bool is_new;
  };

  // Finds the slot of a name, or acquires a slot for a name that has none. The caller has to set the name of
  // a new element.
  FoundSlot find_or_add(const std::string& name) {
    const std::uint64_t hash = hash_text(name);
    const std::size_t found = position(in_use_, to_key(hash), hash, name);
    if (found != in_use_.size()) {
      const std::uint32_t slot = in_use_[found].slot;
      if ((*this)[slot].name() == name) return {slot, false};
    }
    const std::uint32_t slot = acquire();
    in_use_.insert(found, {to_key(hash), slot});
    element(slot).hash = hash;
    return {slot, true};
  }

  // Releases a slot. Its element stays unchanged until the slot is used again.
  void remove(std::uint32_t slot) {
    erase_from(in_use_, to_key(element(slot).hash), slot);
    released_.push_back(slot);
  }

  // Inserts a slot into an index of slots in use, sorted by a key and, for equal keys, by the order of
  // in_use().
  void insert_into(OrderedIndex& index, std::uint32_t key, std::uint32_t slot) const {
    index.insert(position(index, key, element(slot).hash, element(slot).name()), {key, slot});
  }
  // Removes a slot from an index that insert_into() has filled.
  void erase_from(OrderedIndex& index, std::uint32_t key, std::uint32_t slot) const {
    index.erase(position(index, key, element(slot).hash, element(slot).name()));
  }

  // The key of a name with this hash, by which in_use() is sorted.
  static std::uint32_t to_key(std::uint64_t hash) { return static_cast<std::uint32_t>(hash >> 32); }

 private:
  static constexpr std::size_t kChunkSize = 16;
  using Chunk = std::array<Element, kChunkSize>;

  Element& element(std::size_t slot) { return (*chunks_[slot / kChunkSize])[slot % kChunkSize]; }
  const Element& element(std::size_t slot) const { return (*chunks_[slot / kChunkSize])[slot % kChunkSize]; }

  // The position of a name among the entries of an index that have the given key, or the position at which
  // the name has to be inserted.
  std::size_t position(const OrderedIndex& index, std::uint32_t key, std::uint64_t hash,
                       const std::string& name) const {
    return index.partition_point([&](OrderedIndex::Entry entry) {
      if (entry.key != key) return entry.key < key;
      const Element& other = (*this)[entry.slot];
      return other.hash != hash ? other.hash < hash : other.name() < name;
    });
  }

  std::uint32_t acquire() {
    if (!released_.empty()) {
      const std::uint32_t slot = released_.back();
      released_.pop_back();
      return slot;
    }
    if (size_ % kChunkSize == 0) chunks_.push_back(std::make_unique<Chunk>());
    return static_cast<std::uint32_t>(size_++);
  }

  std::vector<std::unique_ptr<Chunk>> chunks_;
  std::size_t size_ = 0;
  std::vector<std::uint32_t> released_;
  OrderedIndex in_use_;
  mutable std::uint64_t reads_ = 0;
};

}  // namespace asterdrift::support
