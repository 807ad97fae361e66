// Bytes that a client has sent and that have not been parsed yet.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "node/memory/memory_budget.h"

namespace asterdrift::node::downstream {

// Holds bytes of the current request, and pipelined bytes of the next one. Pipelined bytes beyond a limit are
// discarded: the connection must not read another request after that. Times are seconds on the steady clock.
class InputBuffer {
 public:
  // budget has to outlive the buffer.
  explicit InputBuffer(memory::MemoryBudget& budget) : budget_(budget), reservation_(budget) {}

  // Bytes of the request that is being read. Of several calls, the later one has the later time.
  void append(std::string_view bytes, double arrived_at);
  // Bytes that have arrived while the response to the current request is awaited or written.
  void append_pipelined(std::string_view bytes, double arrived_at);
  // Whether pipelined bytes have been discarded.
  bool has_overflowed() const { return overflow_; }

  bool is_empty() const { return bytes_.empty(); }
  // The reader removes what it has parsed.
  std::string& bytes() { return bytes_; }
  // When the last of the bytes arrived that have been removed.
  double parsed_arrived_at();

  // The response to the current request has been written: pipelined bytes become those of the next request.
  void release_reservation() { reservation_.release(); }
  // Discards all bytes, and their memory.
  void clear();

 private:
  // Bytes that arrived together.
  struct Arrival {
    std::size_t size = 0;
    double time = 0;
  };

  memory::MemoryBudget& budget_;
  memory::MemoryReservation reservation_;  // for pipelined bytes
  std::string bytes_;
  std::deque<Arrival> arrivals_;  // of bytes_, and of removed bytes that parsed_arrived_at() has not seen
  std::size_t arrived_size_ = 0;  // the sum of arrivals_
  double parsed_arrived_at_ = 0;
  bool overflow_ = false;
};

}  // namespace asterdrift::node::downstream
