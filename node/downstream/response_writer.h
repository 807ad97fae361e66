// Formats the responses to a client. Does no I/O.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "node/dispatch/messages.h"
#include "node/memory/body_stream.h"

namespace asterdrift::node::downstream {

// Provides the bytes of one response at a time, in pieces.
class ResponseWriter {
 public:
  enum class Next {
    kPiece,      // another piece has to be written
    kWait,       // there is no piece until the server sends more bytes
    kTruncated,  // the server has ended the body before it was complete
    kComplete    // the complete response has been written
  };

  struct Options {
    bool close_connection = false;  // adds a "Connection: close" header
    bool client_reads_chunks =
        false;               // if false, a body of unknown length ends when the connection is closed
    bool head_only = false;  // omits the body, as the response to a HEAD request requires
  };

  void begin(dispatch::DownstreamResponse&& response, const Options& options);
  // Discards the response, which has been written completely, and frees its memory.
  void reset();

  // The current piece.
  std::array<boost::asio::const_buffer, 2> buffers() const;
  // Goes on to the next piece. To be called when the current piece has been written.
  Next next();

  // The source of a streamed body until the body is complete; null otherwise.
  const std::shared_ptr<memory::BodyStream>& stream() const { return stream_; }
  // To be called when the client has disconnected. The rest of a streamed body is not read.
  void abandon();

 private:
  std::string piece_;  // the head, or bytes of a streamed body
  // The response whose body is written after the head. Destroyed after use: an assignment would keep the
  // memory of the body.
  std::optional<dispatch::DownstreamResponse> response_;
  bool is_first_piece_ = false;  // the first piece has the head and, unless streamed, the body
  bool is_chunked_ = false;
  std::shared_ptr<memory::BodyStream> stream_;
};

// Whether the end of the response is marked only by the end of the connection.
bool ends_at_connection_close(const dispatch::DownstreamResponse& response, bool client_reads_chunks);

}  // namespace asterdrift::node::downstream
