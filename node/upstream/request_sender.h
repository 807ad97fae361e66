// Writes a request to a server's socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "node/net/send_progress.h"
#include "node/upstream/attempt.h"
#include "node/upstream/attempt_timer.h"
#include "node/upstream/request_serializer.h"

namespace asterdrift::node::upstream {

// Writes synchronously, as much as the socket takes. The handler of a composed asynchronous operation would
// run some time after the last byte has been written, and a timeout in between would treat a complete request
// as an incomplete one.
class RequestSender {
 public:
  enum class Result {
    kComplete,      // the last byte has been written
    kBlocked,       // the socket takes no bytes now
    kAwaitsClient,  // all bytes that the client has sent so far have been written
    kTruncated,     // the client will not send the complete body
    kOverdue,       // the write deadline has passed
    kFailed         // the connection has failed
  };

  // socket and timer have to outlive the sender.
  RequestSender(boost::asio::ip::tcp::socket& socket, AttemptTimer& timer) : socket_(socket), timer_(timer) {}

  void begin(std::shared_ptr<UpstreamRequest> request);
  void reset();

  // Writes as much of the request as possible. on_body_stream_consumed: see AttemptCallbacks.
  Result send(const std::function<void()>& on_body_stream_consumed);

  // Looks how the server's system takes the bytes that have been written. To be called from time to time.
  void observe_progress();
  const net::SendProgress& progress() const { return progress_; }

 private:
  std::optional<Result> write_piece();

  boost::asio::ip::tcp::socket& socket_;
  AttemptTimer& timer_;
  std::shared_ptr<UpstreamRequest> request_;
  RequestSerializer serializer_;
  net::SendProgress progress_;
};

}  // namespace asterdrift::node::upstream
