// Buffers, streams or discards the body of a response.
#include "node/upstream/response_receiver.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "node/http/status.h"

namespace asterdrift::node::upstream {

void ResponseReceiver::begin() {
  parser_.emplace();
  reservation_ = memory::MemoryReservation(budget_);
}

void ResponseReceiver::reset() {
  parser_.reset();
  stream_.reset();
  reservation_ = {};
}

ResponseReceiver::BodyState ResponseReceiver::receive_body() {
  std::string& body = parser_->body();
  if (parser_->status() != http::kOk) {
    body.clear();
    return BodyState::kReceiving;
  }
  if (stream_) {
    stream_->write(std::exchange(body, {}));
    return BodyState::kReceiving;
  }
  const auto length = parser_->content_length();
  const std::uint64_t expected_size = length.value_or(body.size());
  const bool is_large = std::max<std::uint64_t>(body.size(), expected_size) > memory::kMaxBufferedBodyBytes;
  if (is_large || !reservation_.grow_to(expected_size)) return BodyState::kTooLarge;
  if (length) body.reserve(*length);  // the body takes no more memory than is reserved for it
  return length || parser_->is_done() ? BodyState::kReceiving : BodyState::kUnknownLength;
}

StreamedResponse ResponseReceiver::start_streaming(Seconds body_stream_sent_at,
                                                   memory::BodyStream::Callback on_writable) {
  stream_ = std::make_shared<memory::BodyStream>(io_, budget_, std::exchange(reservation_, {}));
  stream_->on_writable(std::move(on_writable));
  parser_->body().shrink_to_fit();
  stream_->write(std::exchange(parser_->body(), {}));
  return {parser_->content_type(), parser_->content_length(), stream_, body_stream_sent_at};
}

std::size_t ResponseReceiver::max_read_bytes() const {
  return stream_ ? stream_->room() : std::numeric_limits<std::size_t>::max();
}

void ResponseReceiver::finish(UpstreamResult& result) {
  const bool is_success = result.outcome == balancer::Outcome::kSuccess;
  if (stream_) {
    stream_->finish(is_success);
  } else if (is_success) {
    result.content_type = parser_->content_type();
    result.body = std::move(parser_->body());
    result.body_reservation = std::exchange(reservation_, {});
  }
}

}  // namespace asterdrift::node::upstream
