// The bytes of a request that is being written to a server, piece by piece. No I/O.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "node/upstream/attempt.h"

namespace asterdrift::node::upstream {

// Yields the head, the buffered body, and then what follows of a body that the client still sends.
class RequestWriter {
 public:
  enum class Next {
    kPiece,      // there are more bytes to write
    kWait,       // for more bytes from the client
    kTruncated,  // the client has not sent the complete body
    kComplete    // all has been written
  };

  // Begins with the head. timeout_ms: the value of Request-Timeout-Ms.
  void begin(std::shared_ptr<UpstreamRequest> request, std::int64_t timeout_ms);
  void reset();

  // The bytes of the current piece that have not been written.
  std::array<boost::asio::const_buffer, 2> buffers() const;
  bool piece_is_written() const { return written_ >= owned_.size() + borrowed_.size(); }
  void advance(std::size_t bytes) { written_ += bytes; }

  // After a piece has been written. The first piece of body_stream marks it as consumed.
  Next next();

 private:
  std::shared_ptr<UpstreamRequest> request_;
  std::string owned_;          // bytes of this piece that the writer owns
  std::string_view borrowed_;  // and the buffered body of the request behind them
  std::size_t written_ = 0;    // of both
  bool is_last_piece_ = false;
};

}  // namespace asterdrift::node::upstream
