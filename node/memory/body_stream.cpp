// Buffers the bytes of a streamed body, and posts the notifications of its writer and reader.
#include "node/memory/body_stream.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace asterdrift::node::memory {
namespace {

constexpr std::size_t kCapacityBytes = 64UL * 1024;
// The capacity without a reservation, if the budget is exhausted.
constexpr std::size_t kMinCapacityBytes = 16UL * 1024;

}  // namespace

BodyStream::BodyStream(boost::asio::io_context& io, MemoryBudget& budget)
    : io_(io),
      budget_(budget),
      reservation_(budget),
      capacity_(reservation_.grow_to(kCapacityBytes) ? kCapacityBytes : kMinCapacityBytes) {}

BodyStream::~BodyStream() { budget_.remove_streamed(bytes_.size()); }

void BodyStream::write(std::string_view bytes) {
  if (abandoned_ || bytes.empty()) return;
  budget_.add_streamed(bytes.size());
  bytes_.append(bytes);
  notify(&BodyStream::on_readable_, &BodyStream::is_readable_call_pending_);
}

void BodyStream::finish(bool complete) {
  if (is_finished()) return;
  state_ = complete ? BodyState::kComplete : BodyState::kTruncated;
  on_writable_ = nullptr;
  notify(&BodyStream::on_readable_, &BodyStream::is_readable_call_pending_);
}

std::string BodyStream::read() {
  notify(&BodyStream::on_writable_, &BodyStream::is_writable_call_pending_);
  budget_.remove_streamed(bytes_.size());
  return std::exchange(bytes_, {});
}

void BodyStream::abandon() {
  abandoned_ = true;
  on_readable_ = nullptr;
  budget_.remove_streamed(bytes_.size());
  std::string().swap(bytes_);
  notify(&BodyStream::on_writable_, &BodyStream::is_writable_call_pending_);
}

void BodyStream::notify(Callback BodyStream::*callback, bool BodyStream::*pending) {
  if (std::exchange(this->*pending, true)) return;
  boost::asio::post(io_, [self = shared_from_this(), callback, pending] {
    (*self).*pending = false;
    if (const Callback function = (*self).*callback) function();
  });
}

}  // namespace asterdrift::node::memory
