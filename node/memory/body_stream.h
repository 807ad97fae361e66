// Forwards a body from one connection to another, with a bounded buffer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "node/memory/memory_budget.h"

namespace asterdrift::node::memory {

// Bodies up to this size are buffered, so that a request can be retried; larger ones are streamed.
constexpr std::size_t kMaxBufferedBodyBytes = 64UL * 1024;  // bytes
// Larger bodies are rejected.
constexpr std::size_t kMaxBodyBytes = 40UL * 1024 * 1024;  // bytes

// A bounded buffer between a writer and a reader. Each is notified of the other's progress, always from the
// event loop.
class BodyStream : public std::enable_shared_from_this<BodyStream> {
 public:
  using Callback = std::function<void()>;

  // Where the budget is exhausted, the buffer is smaller.
  BodyStream(boost::asio::io_context& io, MemoryBudget& budget);

  // The writer's side.
  bool is_full() const { return bytes_.size() >= capacity_; }
  bool is_abandoned() const { return abandoned_; }
  void write(std::string_view bytes);
  // No more bytes follow. complete: the body has not been truncated.
  void finish(bool complete);
  void on_writable(Callback callback) { writable_ = std::move(callback); }

  // The reader's side.
  bool is_empty() const { return bytes_.empty(); }
  bool is_finished() const { return end_ != End::kOpen; }
  bool is_complete() const { return end_ == End::kComplete; }
  // All bytes that are buffered.
  std::string read();
  // The reader has disconnected.
  void abandon();
  void on_readable(Callback callback) { readable_ = std::move(callback); }

 private:
  enum class End { kOpen, kComplete, kTruncated };

  void notify(Callback BodyStream::*callback, bool BodyStream::*pending);

  boost::asio::io_context& io_;
  MemoryReservation reservation_;
  std::size_t capacity_;
  std::string bytes_;
  End end_ = End::kOpen;
  bool abandoned_ = false;
  Callback writable_, readable_;
  bool writable_pending_ = false, readable_pending_ = false;
};

}  // namespace asterdrift::node::memory
