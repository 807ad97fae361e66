// Bytes that a client has sent and that have not been parsed yet.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "node/memory/memory_budget.h"

namespace asterdrift::node::downstream {

// Holds bytes of the current request, and pipelined bytes of the next one. Pipelined bytes beyond a limit are
// discarded: the connection must not read another request after that.
class InputBuffer {
 public:
  // budget has to outlive the buffer.
  explicit InputBuffer(memory::MemoryBudget& budget) : budget_(budget), reservation_(budget) {}

  // Bytes of the request that is being read.
  void append(std::string_view bytes) { bytes_.append(bytes); }
  // Bytes that have arrived while the response to the current request is awaited or written.
  void append_pipelined(std::string_view bytes);
  // Whether pipelined bytes have been discarded.
  bool has_overflowed() const { return overflow_; }

  bool is_empty() const { return bytes_.empty(); }
  // The reader removes what it has parsed.
  std::string& bytes() { return bytes_; }

  // The response to the current request has been written: pipelined bytes become those of the next request.
  void release_reservation() { reservation_.release(); }
  // Discards all bytes, and their memory.
  void clear() { std::string().swap(bytes_); }

 private:
  memory::MemoryBudget& budget_;
  memory::MemoryReservation reservation_;  // for pipelined bytes
  std::string bytes_;
  bool overflow_ = false;
};

}  // namespace asterdrift::node::downstream
