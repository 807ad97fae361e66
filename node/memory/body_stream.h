// Streams a body from one connection to another through a bounded buffer.
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
constexpr std::size_t kMaxBufferedBodyBytes = 64UL * 1024;
// Larger bodies are rejected.
constexpr std::size_t kMaxBodyBytes = 40UL * 1024 * 1024;

// A bounded buffer between a writer and a reader. Each side is notified of the other's progress, always from
// the event loop and never from within a call of this class.
class BodyStream : public std::enable_shared_from_this<BodyStream> {
 public:
  using Callback = std::function<void()>;

  // If the budget is exhausted, the buffer has a smaller capacity.
  BodyStream(boost::asio::io_context& io, MemoryBudget& budget);
  ~BodyStream();
  BodyStream(const BodyStream&) = delete;
  BodyStream& operator=(const BodyStream&) = delete;

  // To be called by the writer.
  bool is_full() const { return bytes_.size() >= capacity_; }
  // Whether the reader has disconnected.
  bool is_abandoned() const { return abandoned_; }
  void write(std::string_view bytes);
  // Ends the stream. complete: false if the body has been truncated.
  void finish(bool complete);
  // Sets the callback for when the reader has removed bytes, or has disconnected.
  void on_writable(Callback callback) { on_writable_ = std::move(callback); }

  // To be called by the reader.
  bool is_empty() const { return bytes_.empty(); }
  bool is_finished() const { return state_ != BodyState::kOpen; }
  bool is_complete() const { return state_ == BodyState::kComplete; }
  // Removes and returns all buffered bytes.
  std::string read();
  // To be called when the reader has disconnected. Discards the buffered bytes, and those that are written
  // later.
  void abandon();
  // Sets the callback for when bytes have been written, or the stream has ended.
  void on_readable(Callback callback) { on_readable_ = std::move(callback); }

 private:
  enum class BodyState { kOpen, kComplete, kTruncated };

  // Posts a call of `callback` to the event loop, unless `pending` says that one has been posted already.
  void notify(Callback BodyStream::*callback, bool BodyStream::*pending);

  boost::asio::io_context& io_;
  MemoryBudget& budget_;
  MemoryReservation reservation_;
  std::size_t capacity_;
  std::string bytes_;
  BodyState state_ = BodyState::kOpen;
  bool abandoned_ = false;
  Callback on_writable_, on_readable_;
  bool is_writable_call_pending_ = false, is_readable_call_pending_ = false;
};

}  // namespace asterdrift::node::memory
