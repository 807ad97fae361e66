#include "node/downstream/input_buffer.h"

#include <algorithm>

#include "node/downstream/request_parser.h"
#include "node/memory/body_stream.h"

namespace asterdrift::node::downstream {
namespace {

// Bytes that are buffered without a reservation.
constexpr std::size_t kUnreservedPipelinedBytes = 8UL * 1024;
constexpr std::size_t kMaxPipelinedBytes = RequestParser::kMaxHeadBytes + memory::kMaxBufferedBodyBytes;
// s within which bytes count as arriving together, with the time of the first: a client that sends single
// bytes must not take up memory for the time of each.
constexpr double kArrivalResolution = 0.001;

}  // namespace

void InputBuffer::append(std::string_view bytes, double arrived_at) {
  bytes_.append(bytes);
  arrived_size_ += bytes.size();
  if (!arrivals_.empty() && arrived_at - arrivals_.back().time < kArrivalResolution) {
    arrivals_.back().size += bytes.size();
  } else {
    arrivals_.push_back({bytes.size(), arrived_at});
  }
}

void InputBuffer::append_pipelined(std::string_view bytes, double arrived_at) {
  const std::size_t size = bytes_.size() + bytes.size();
  const bool has_memory = size <= kUnreservedPipelinedBytes || reservation_.grow_to(size, budget_.size() / 2);
  overflow_ = overflow_ || size > kMaxPipelinedBytes || !has_memory;
  if (!overflow_) return append(bytes, arrived_at);
  clear();
  reservation_.release();
}

double InputBuffer::parsed_arrived_at() {
  while (arrived_size_ > bytes_.size()) {
    Arrival& oldest = arrivals_.front();
    const std::size_t parsed = std::min(oldest.size, arrived_size_ - bytes_.size());
    parsed_arrived_at_ = oldest.time;
    arrived_size_ -= parsed;
    oldest.size -= parsed;
    if (oldest.size == 0) arrivals_.pop_front();
  }
  return parsed_arrived_at_;
}

void InputBuffer::clear() {
  std::string().swap(bytes_);
  arrivals_.clear();
  arrived_size_ = 0;
}

}  // namespace asterdrift::node::downstream
