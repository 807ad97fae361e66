#include "node/upstream/request_writer.h"

#include <utility>

#include "node/http/body.h"

namespace asterdrift::node::upstream {

void RequestWriter::begin(std::shared_ptr<UpstreamRequest> request, std::int64_t timeout_ms) {
  request_ = std::move(request);
  written_ = 0;
  is_last_piece_ = false;
  owned_ = request_->head;
  owned_ += "Request-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n\r\n";
  borrowed_ = request_->buffered_body;
  if (request_->is_chunked) {  // the buffered bytes are the first chunk
    owned_ += http::encode_chunk(request_->buffered_body);
    borrowed_ = {};
  }
}

void RequestWriter::reset() {
  request_.reset();
  borrowed_ = {};
  std::string().swap(owned_);
}

std::array<boost::asio::const_buffer, 2> RequestWriter::buffers() const {
  const std::size_t owned = owned_.size();
  const std::size_t written_of_borrowed = written_ > owned ? written_ - owned : 0;
  return {written_ < owned ? boost::asio::buffer(owned_) + written_ : boost::asio::const_buffer(),
          boost::asio::buffer(borrowed_.data(), borrowed_.size()) + written_of_borrowed};
}

RequestWriter::Next RequestWriter::next() {
  memory::BodyStream* const stream = request_->body_stream.get();
  if (stream == nullptr || is_last_piece_) {
    std::string().swap(owned_);
    borrowed_ = {};
    return Next::kComplete;
  }
  if (stream->is_empty() && !stream->is_finished()) return Next::kWait;
  // A server must not execute an incomplete request.
  if (stream->is_empty() && !stream->is_complete()) return Next::kTruncated;
  is_last_piece_ = stream->is_empty();
  borrowed_ = {};
  written_ = 0;
  if (is_last_piece_) {
    owned_ = request_->is_chunked ? http::kLastChunk : std::string_view();
    return owned_.empty() ? next() : Next::kPiece;
  }
  request_->body_stream_consumed = true;
  owned_ = request_->is_chunked ? http::encode_chunk(stream->read()) : stream->read();
  return Next::kPiece;
}

}  // namespace asterdrift::node::upstream
