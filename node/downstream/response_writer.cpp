// Formats the head of a response, and divides its body into pieces, with chunked framing if needed.
#include "node/downstream/response_writer.h"

#include <cstdio>
#include <utility>

#include "asterdrift/seconds.h"
#include "node/http/body.h"
#include "node/http/response.h"

namespace asterdrift::node::downstream {
namespace {

bool has_unknown_length(const dispatch::DownstreamResponse& response) {
  return response.streamed_body && !response.content_length;
}

std::string format_retry_after(Seconds retry_after) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n", retry_after);
  return text.data();
}

std::string format_head(const dispatch::DownstreamResponse& response, bool close_connection,
                        bool is_chunked) {
  std::string head = http::status_line(response.status);
  if (is_chunked) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (!has_unknown_length(response)) {
    const std::uint64_t length = response.streamed_body ? *response.content_length : response.body.size();
    head += "Content-Length: " + std::to_string(length) + "\r\n";
  }
  if (!response.content_type.empty()) head += "Content-Type: " + response.content_type + "\r\n";
  if (response.retry_after > 0) head += format_retry_after(response.retry_after);
  if (close_connection) head += "Connection: close\r\n";
  return head + "\r\n";
}

}  // namespace

bool ends_at_connection_close(const dispatch::DownstreamResponse& response, bool client_reads_chunks) {
  return has_unknown_length(response) && !client_reads_chunks;
}

void ResponseWriter::begin(dispatch::DownstreamResponse&& response, const Options& options) {
  is_chunked_ = has_unknown_length(response) && options.client_reads_chunks;
  piece_ = format_head(response, options.close_connection, is_chunked_);
  response_.emplace(std::move(response));
  if (options.head_only) response_->body.clear();
  is_first_piece_ = true;
  stream_ = std::exchange(response_->streamed_body, nullptr);
}

void ResponseWriter::reset() {
  std::string().swap(piece_);
  response_.reset();
}

std::array<boost::asio::const_buffer, 2> ResponseWriter::buffers() const {
  return {boost::asio::buffer(piece_),
          is_first_piece_ ? boost::asio::buffer(response_->body) : boost::asio::const_buffer()};
}

ResponseWriter::Next ResponseWriter::next() {
  is_first_piece_ = false;
  if (!stream_) return Next::kComplete;
  std::string().swap(piece_);
  stream_->release();
  if (!stream_->is_empty()) {
    piece_ = is_chunked_ ? http::encode_chunk(stream_->read()) : stream_->read();
    return Next::kPiece;
  }
  if (!stream_->is_finished()) return Next::kWait;
  if (!stream_->is_complete()) return Next::kTruncated;
  stream_.reset();
  if (!is_chunked_) return Next::kComplete;
  piece_ = http::kLastChunk;
  return Next::kPiece;
}

void ResponseWriter::abandon() {
  if (stream_) stream_->abandon();
  stream_.reset();
}

}  // namespace asterdrift::node::downstream
