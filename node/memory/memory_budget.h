// The bytes that bodies may take up in this process, in both directions.
#pragma once

#include <cstddef>
#include <utility>

namespace asterdrift::node::memory {

// A number of bytes that MemoryReservation takes from.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t bytes) : size_(bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t size() const { return size_; }
  std::size_t available() const { return reserved_ < size_ ? size_ - reserved_ : 0; }
  // Reservations beyond the new size stay valid until they end.
  void resize(std::size_t bytes) { size_ = bytes; }

 private:
  friend class MemoryReservation;

  std::size_t size_;
  std::size_t reserved_ = 0;
};

// Reserved bytes of a budget, which has to outlive it. The destructor releases them.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  explicit MemoryReservation(MemoryBudget& budget) : budget_(&budget) {}
  MemoryReservation(MemoryReservation&& other) noexcept
      : budget_(other.budget_), reserved_(std::exchange(other.reserved_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    release();
    budget_ = other.budget_;
    reserved_ = std::exchange(other.reserved_, 0);
    return *this;
  }
  ~MemoryReservation() { release(); }

  // Reserves `bytes` in total, if `headroom` stays available. Otherwise returns false and changes nothing.
  bool grow_to(std::size_t bytes, std::size_t headroom = 0) {
    if (budget_ == nullptr || bytes <= reserved_) return true;
    if (budget_->available() < bytes - reserved_ + headroom) return false;
    budget_->reserved_ += bytes - reserved_;
    reserved_ = bytes;
    return true;
  }

  void release() {
    if (budget_ != nullptr) budget_->reserved_ -= std::exchange(reserved_, 0);
  }

 private:
  MemoryBudget* budget_ = nullptr;
  std::size_t reserved_ = 0;
};

}  // namespace asterdrift::node::memory
