#include "node/downstream/input_buffer.h"

#include "node/downstream/request_parser.h"
#include "node/memory/body_stream.h"

namespace asterdrift::node::downstream {
namespace {

// Bytes that are buffered without a reservation.
constexpr std::size_t kUnreservedPipelinedBytes = 8UL * 1024;
constexpr std::size_t kMaxPipelinedBytes = RequestParser::kMaxHeadBytes + memory::kMaxBufferedBodyBytes;

}  // namespace

void InputBuffer::append_pipelined(std::string_view bytes) {
  const std::size_t size = bytes_.size() + bytes.size();
  const bool has_memory = size <= kUnreservedPipelinedBytes || reservation_.grow_to(size, budget_.size() / 2);
  overflow_ = overflow_ || size > kMaxPipelinedBytes || !has_memory;
  if (!overflow_) return append(bytes);
  clear();
  reservation_.release();
}

}  // namespace asterdrift::node::downstream
