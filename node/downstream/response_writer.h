// The bytes of a response that is being written to a client. No I/O.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <memory>
#include <string>

#include "node/dispatch/messages.h"
#include "node/memory/body_stream.h"

namespace asterdrift::node::downstream {

// Yields the bytes of one response after the other, each in pieces.
class ResponseWriter {
 public:
  enum class Next {
    kPiece,      // there are more bytes to write
    kWait,       // for more bytes from the server
    kTruncated,  // the server has not sent the complete body
    kComplete    // all has been written
  };

  struct Options {
    bool close_connection = false;     // sends Connection: close
    bool client_reads_chunks = false;  // else a body of unknown length ends with the connection
    bool head_only = false;            // the response to a HEAD request
  };

  void begin(dispatch::DownstreamResponse&& response, const Options& options);
  void reset();

  // The current piece.
  std::array<boost::asio::const_buffer, 2> buffers() const;
  // After the current piece has been written.
  Next next();

  // Of a streamed response until it is complete; else null.
  const std::shared_ptr<memory::BodyStream>& stream() const { return stream_; }
  // The client has disconnected: the rest of the stream is not read.
  void abandon();

 private:
  std::string piece_;                      // the head, or bytes of a streamed body
  dispatch::DownstreamResponse response_;  // its body is written behind the head
  bool has_body_ = false;
  bool is_chunked_ = false;
  std::shared_ptr<memory::BodyStream> stream_;
};

// Whether only the end of the connection marks the end of the response.
bool ends_with_connection(const dispatch::DownstreamResponse& response, bool client_reads_chunks);

}  // namespace asterdrift::node::downstream
