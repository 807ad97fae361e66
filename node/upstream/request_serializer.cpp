// Serializes a request, with its body in chunks if the length of the body is not known.
#include "node/upstream/request_serializer.h"

#include <algorithm>
#include <utility>

#include "node/http/body.h"

namespace asterdrift::node::upstream {

void RequestSerializer::begin(std::shared_ptr<UpstreamRequest> request, std::int64_t timeout_ms) {
  clear_piece();
  request_ = std::move(request);
  is_last_piece_ = false;
  prefix_ = request_->head;
  prefix_ += "Request-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n\r\n";
  set_body(request_->buffered_body);  // with chunks, the buffered bytes are the first one
}

void RequestSerializer::reset() {
  request_.reset();
  clear_piece();
}

// Appends `body` to the piece, as a chunk if the length of the request's body is not known.
void RequestSerializer::set_body(std::string_view body) {
  body_ = body;
  if (!request_->is_chunked || body.empty()) return;
  prefix_ += http::chunk_head(body.size());
  suffix_ = http::kChunkEnd;
}

// Frees the memory of the current piece.
void RequestSerializer::clear_piece() {
  written_ = 0;
  body_ = {};
  suffix_ = {};
  std::string().swap(prefix_);
  std::string().swap(block_);
}

std::array<boost::asio::const_buffer, 3> RequestSerializer::buffers() const {
  std::array<boost::asio::const_buffer, 3> parts = {boost::asio::buffer(prefix_), boost::asio::buffer(body_),
                                                    boost::asio::buffer(suffix_)};
  std::size_t written = written_;
  for (boost::asio::const_buffer& part : parts) {
    const std::size_t written_of_part = std::min(written, part.size());
    part += written_of_part;
    written -= written_of_part;
  }
  return parts;
}

RequestSerializer::Next RequestSerializer::next() {
  clear_piece();
  memory::BodyStream* const stream = request_->body_stream.get();
  if (stream == nullptr || is_last_piece_) return Next::kComplete;
  stream->release();
  if (stream->is_empty() && !stream->is_finished()) return Next::kWait;
  // A server must not execute an incomplete request.
  if (stream->is_empty() && !stream->is_complete()) return Next::kTruncated;
  is_last_piece_ = stream->is_empty();
  if (is_last_piece_) {
    if (!request_->is_chunked) return Next::kComplete;
    suffix_ = http::kLastChunk;
    return Next::kPiece;
  }
  request_->consume_body_stream();
  block_ = stream->read();
  set_body(block_);
  return Next::kPiece;
}

}  // namespace asterdrift::node::upstream
