// Buffers the bytes of a streamed body, and posts the notifications of its writer and reader.
#include "node/memory/body_stream.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace asterdrift::node::memory {
namespace {

// Small writes are joined to blocks of this size.
constexpr std::size_t kBlockBytes = 16UL * 1024;

// Streams grow only while three quarters of the budget stay available: half of the budget is for responses
// that are buffered, and a quarter for requests.
std::size_t headroom_for_buffered_bodies(const MemoryBudget& budget) { return budget.size() / 4 * 3; }

}  // namespace

BodyStream::BodyStream(boost::asio::io_context& io, MemoryBudget& budget, MemoryReservation reservation)
    : io_(io),
      budget_(budget),
      reservation_(std::move(reservation)),
      capacity_(std::max(kMinCapacityBytes, reservation_.bytes())) {}

BodyStream::~BodyStream() { vacate(occupied_bytes_); }

void BodyStream::write(std::string&& bytes) {
  if (abandoned_ || bytes.empty()) return;
  occupy(bytes.size());
  append(std::move(bytes));
  grow_if_full();
  notify(&BodyStream::on_readable_, &BodyStream::is_readable_call_pending_);
}

void BodyStream::append(std::string&& bytes) {
  if (blocks_.empty() || blocks_.back().size() + bytes.size() > kBlockBytes) {
    blocks_.push_back(std::move(bytes));
    return;
  }
  std::string& block = blocks_.back();
  block.reserve(kBlockBytes);
  block.append(bytes);
}

void BodyStream::grow_if_full() {
  if (!is_full() || capacity_ >= kMaxCapacityBytes) return;
  if (reservation_.grow_to(kMaxCapacityBytes, headroom_for_buffered_bodies(budget_))) {
    capacity_ = kMaxCapacityBytes;
  }
}

void BodyStream::finish(bool complete) {
  if (is_finished()) return;
  state_ = complete ? BodyState::kComplete : BodyState::kTruncated;
  on_writable_ = nullptr;
  notify(&BodyStream::on_readable_, &BodyStream::is_readable_call_pending_);
}

std::string BodyStream::read() {
  std::string block = std::move(blocks_.front());
  blocks_.pop_front();
  read_bytes_ += block.size();
  return block;
}

void BodyStream::release() {
  if (read_bytes_ == 0) return;
  vacate(std::exchange(read_bytes_, 0));
  notify(&BodyStream::on_writable_, &BodyStream::is_writable_call_pending_);
}

void BodyStream::abandon() {
  abandoned_ = true;
  on_readable_ = nullptr;
  std::deque<std::string>().swap(blocks_);
  read_bytes_ = 0;
  vacate(occupied_bytes_);
  notify(&BodyStream::on_writable_, &BodyStream::is_writable_call_pending_);
}

void BodyStream::occupy(std::size_t bytes) {
  occupied_bytes_ += bytes;
  budget_.add_streamed(bytes);
}

void BodyStream::vacate(std::size_t bytes) {
  occupied_bytes_ -= bytes;
  budget_.remove_streamed(bytes);
}

void BodyStream::notify(Callback BodyStream::*callback, bool BodyStream::*pending) {
  if (std::exchange(this->*pending, true)) return;
  boost::asio::post(io_, [self = shared_from_this(), callback, pending] {
    (*self).*pending = false;
    if (const Callback function = (*self).*callback) function();
  });
}

}  // namespace asterdrift::node::memory
