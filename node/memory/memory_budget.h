// Limits the memory that request and response bodies occupy in this process.
#pragma once

#include <cstddef>
#include <utility>

namespace asterdrift::node::memory {

// A limited number of bytes, parts of which are reserved by MemoryReservation.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t bytes) : size_(bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t size() const { return size_; }
  std::size_t available() const { return reserved_ < size_ ? size_ - reserved_ : 0; }
  // Existing reservations stay valid until their release, even if they exceed the new size.
  void resize(std::size_t bytes) { size_ = bytes; }
  std::size_t reserved() const { return reserved_; }

  // The bytes in all body streams, reserved or not.
  std::size_t streamed() const { return streamed_; }
  void add_streamed(std::size_t bytes) { streamed_ += bytes; }
  void remove_streamed(std::size_t bytes) { streamed_ -= bytes; }

 private:
  friend class MemoryReservation;

  std::size_t size_;
  std::size_t reserved_ = 0;
  std::size_t streamed_ = 0;
};

// Bytes reserved from a budget, which has to outlive the reservation. The destructor releases them.
class MemoryReservation {
 public:
  // A reservation without a budget: grow_to() always returns true.
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

  std::size_t bytes() const { return reserved_; }

  // Grows the reservation to `bytes` in total if at least `headroom` bytes of the budget stay available
  // afterwards. Otherwise returns false and changes nothing.
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
