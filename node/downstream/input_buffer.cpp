// Stores received bytes with their arrival times, and limits the memory for pipelined bytes.
#include "node/downstream/input_buffer.h"

#include <algorithm>

#include "node/downstream/request_parser.h"
#include "node/memory/body_stream.h"

namespace asterdrift::node::downstream {
namespace {

// Pipelined bytes up to this size are buffered without a memory reservation.
constexpr std::size_t kUnreservedPipelinedBytes = 8UL * 1024;
constexpr std::size_t kMaxPipelinedBytes = RequestParser::kMaxHeadBytes + memory::kMaxBufferedBodyBytes;
// Bytes that arrive within this time of each other are stored as one segment, with the arrival time of the
// first byte. This bounds the memory for segments if a client sends single bytes.
constexpr Seconds kArrivalTimeResolution = 0.001;
// If there are more segments, the oldest two are joined.
constexpr std::size_t kMaxSegments = 64;

}  // namespace

void InputBuffer::append(std::string_view bytes, Seconds arrived_at) {
  bytes_.append(bytes);
  segment_bytes_ += bytes.size();
  if (!segments_.empty() && arrived_at - segments_.back().arrived_at < kArrivalTimeResolution) {
    segments_.back().size += bytes.size();
  } else {
    segments_.push_back({bytes.size(), arrived_at});
  }
  if (segments_.size() > kMaxSegments) join_oldest_segments();
}

// The joined segment has the earlier arrival time, so that no request counts as younger than it is.
void InputBuffer::join_oldest_segments() {
  const Segment oldest = segments_.front();
  segments_.pop_front();
  segments_.front().size += oldest.size;
  segments_.front().arrived_at = oldest.arrived_at;
}

void InputBuffer::append_pipelined(std::string_view bytes, Seconds arrived_at) {
  const std::size_t size = bytes_.size() + bytes.size();
  const bool has_memory = size <= kUnreservedPipelinedBytes || reservation_.grow_to(size, budget_.size() / 2);
  has_overflowed_ = has_overflowed_ || size > kMaxPipelinedBytes || !has_memory;
  if (!has_overflowed_) return append(bytes, arrived_at);
  clear();
  reservation_.release();
}

Seconds InputBuffer::parsed_bytes_arrived_at() {
  while (segment_bytes_ > bytes_.size()) {
    Segment& oldest = segments_.front();
    const std::size_t parsed = std::min(oldest.size, segment_bytes_ - bytes_.size());
    parsed_bytes_arrived_at_ = oldest.arrived_at;
    segment_bytes_ -= parsed;
    oldest.size -= parsed;
    if (oldest.size == 0) segments_.pop_front();
  }
  return parsed_bytes_arrived_at_;
}

void InputBuffer::clear() {
  std::string().swap(bytes_);
  segments_.clear();
  segment_bytes_ = 0;
}

}  // namespace asterdrift::node::downstream
