// Serializes a request to a server, piece by piece. Does no I/O.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "node/upstream/attempt.h"

namespace asterdrift::node::upstream {

// Serializes the head with the buffered body, and then the pieces of the body that the client is still
// sending.
class RequestSerializer {
 public:
  enum class Next {
    kPiece,      // the next piece is available
    kWait,       // more bytes have to arrive from the client first
    kTruncated,  // the client will not send the complete body
    kComplete    // the complete request has been written
  };

  // Begins a request with its head. timeout_ms: the value of its Request-Timeout-Ms header.
  void begin(std::shared_ptr<UpstreamRequest> request, std::int64_t timeout_ms);
  void reset();

  // The bytes of the current piece that have not been written.
  std::array<boost::asio::const_buffer, 3> buffers() const;
  bool is_piece_written() const { return written_ >= prefix_.size() + body_.size() + suffix_.size(); }
  void advance(std::size_t bytes) { written_ += bytes; }

  // Advances to the next piece after the current one has been written. The first piece of body_stream marks
  // body_stream as consumed.
  Next next();

 private:
  void set_body(std::string_view body);
  void clear_piece();

  std::shared_ptr<UpstreamRequest> request_;
  // The current piece consists of prefix_, body_ and suffix_.
  std::string prefix_;       // the head of the request, of a chunk, or of both
  std::string_view body_;    // bytes of block_, or of the request's buffered body
  std::string_view suffix_;  // ends a chunk
  std::string block_;        // bytes of the request's body_stream
  std::size_t written_ = 0;  // how many bytes of the current piece have been written
  bool is_last_piece_ = false;
};

}  // namespace asterdrift::node::upstream
