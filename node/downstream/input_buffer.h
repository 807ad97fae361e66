// Bytes that have been received from a client and not been parsed yet.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "asterdrift/seconds.h"
#include "node/memory/memory_budget.h"

namespace asterdrift::node::downstream {

// Holds bytes of the current request, and pipelined bytes of the next one. If pipelined bytes exceed a limit,
// all buffered bytes are discarded, and the connection must not read another request. All times are on the
// steady clock.
class InputBuffer {
 public:
  // budget has to outlive the buffer.
  explicit InputBuffer(memory::MemoryBudget& budget) : budget_(budget), reservation_(budget) {}

  // Adds bytes of the request that is being read. arrived_at must not decrease from call to call.
  void append(std::string_view bytes, Seconds arrived_at);
  // Adds bytes that have arrived while the response to the current request is awaited or written.
  void append_pipelined(std::string_view bytes, Seconds arrived_at);
  // Whether pipelined bytes have been discarded because there were too many.
  bool has_overflowed() const { return has_overflowed_; }

  bool is_empty() const { return bytes_.empty(); }
  // The request reader removes the bytes that it has parsed.
  std::string& bytes() { return bytes_; }
  // When the last of the removed bytes arrived.
  Seconds parsed_bytes_arrived_at();

  // To be called when the response to the current request has been written. The pipelined bytes become those
  // of the next request.
  void release_reservation() { reservation_.release(); }
  // Discards all bytes and frees their memory.
  void clear();

 private:
  // Bytes that arrived together.
  struct Segment {
    std::size_t size = 0;
    Seconds arrived_at = 0;
  };

  void join_oldest_segments();

  memory::MemoryBudget& budget_;
  memory::MemoryReservation reservation_;  // the memory that is reserved for pipelined bytes
  std::string bytes_;
  // Segments of bytes_, and of removed bytes that parsed_bytes_arrived_at() has not processed yet.
  std::deque<Segment> segments_;
  std::size_t segment_bytes_ = 0;  // the total size of segments_
  Seconds parsed_bytes_arrived_at_ = 0;
  bool has_overflowed_ = false;
};

}  // namespace asterdrift::node::downstream
