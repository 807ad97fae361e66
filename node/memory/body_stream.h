// Streams a body from one connection to another through a bounded buffer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

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

  // The capacity that every stream has, also if the budget is exhausted. It is not reserved from the budget.
  static constexpr std::size_t kMinCapacityBytes = 16UL * 1024;
  // The capacity of a stream whose reader is slower than its writer, if the budget has memory to spare.
  static constexpr std::size_t kMaxCapacityBytes = 64UL * 1024;

  // budget has to outlive the stream. reservation: memory of this budget that the stream may use.
  BodyStream(boost::asio::io_context& io, MemoryBudget& budget, MemoryReservation reservation);
  ~BodyStream();
  BodyStream(const BodyStream&) = delete;
  BodyStream& operator=(const BodyStream&) = delete;

  // To be called by the writer.
  // How many bytes the writer may add before the capacity is reached. Bytes that the reader has removed count
  // until their release.
  std::size_t room() const { return capacity_ > occupied_bytes_ ? capacity_ - occupied_bytes_ : 0; }
  // Whether the writer has to wait until on_writable() is called.
  bool is_full() const { return room() < kMinRoomBytes; }
  // Whether the reader has disconnected.
  bool is_abandoned() const { return abandoned_; }
  // Adds bytes, also if they exceed the capacity.
  void write(std::string&& bytes);
  // Ends the stream. complete: false if the body has been truncated.
  void finish(bool complete);
  // Sets the callback for when the reader has released bytes, or has disconnected.
  void on_writable(Callback callback) { on_writable_ = std::move(callback); }

  // To be called by the reader.
  bool is_empty() const { return blocks_.empty(); }
  bool is_finished() const { return state_ != BodyState::kOpen; }
  bool is_complete() const { return state_ == BodyState::kComplete; }
  // Removes and returns the oldest bytes. They occupy the stream's capacity until release().
  std::string read();
  // To be called when the reader has freed the bytes that the last read() returned.
  void release();
  // To be called when the reader has disconnected. Discards the buffered bytes, and those that are written
  // later.
  void abandon();
  // Sets the callback for when bytes have been written, or the stream has ended.
  void on_readable(Callback callback) { on_readable_ = std::move(callback); }

 private:
  enum class BodyState { kOpen, kComplete, kTruncated };

  // A writer that waits for at least this much room does not read its socket in tiny pieces.
  static constexpr std::size_t kMinRoomBytes = 4UL * 1024;

  void append(std::string&& bytes);
  void grow_if_full();
  void occupy(std::size_t bytes);
  void vacate(std::size_t bytes);
  // Posts a call of `callback` to the event loop, unless `pending` says that one has been posted already.
  void notify(Callback BodyStream::*callback, bool BodyStream::*pending);

  boost::asio::io_context& io_;
  MemoryBudget& budget_;
  MemoryReservation reservation_;
  std::size_t capacity_;
  std::deque<std::string> blocks_;
  std::size_t read_bytes_ = 0;      // the bytes that the last read() returned, until their release
  std::size_t occupied_bytes_ = 0;  // the bytes in blocks_, and read_bytes_
  BodyState state_ = BodyState::kOpen;
  bool abandoned_ = false;
  Callback on_writable_, on_readable_;
  bool is_writable_call_pending_ = false, is_readable_call_pending_ = false;
};

}  // namespace asterdrift::node::memory
