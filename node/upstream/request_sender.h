// Writes a request to a server's socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "node/upstream/attempt.h"
#include "node/upstream/attempt_timer.h"
#include "node/upstream/request_writer.h"

namespace asterdrift::node::upstream {

// Writes synchronously, as much as the socket takes. With a composed asynchronous operation, whose handler
// would run some time after the last byte has been written, a timeout in between would take a complete
// request for an incomplete one.
class RequestSender {
 public:
  enum class Result {
    kComplete,      // the last byte has been written
    kBlocked,       // the socket takes no bytes now
    kAwaitsClient,  // the client has not sent more yet
    kTruncated,     // the client has not sent the complete body
    kOverdue,       // the time for writing the request has ended
    kFailed         // the connection has failed
  };

  // socket and timer have to outlive the sender.
  RequestSender(boost::asio::ip::tcp::socket& socket, AttemptTimer& timer) : socket_(socket), timer_(timer) {}

  void begin(std::shared_ptr<UpstreamRequest> request);
  void reset();

  // on_body_consumed: see AttemptCallbacks.
  Result send(const std::function<void()>& on_body_consumed);

 private:
  std::optional<Result> write_piece();

  boost::asio::ip::tcp::socket& socket_;
  AttemptTimer& timer_;
  std::shared_ptr<UpstreamRequest> request_;
  RequestWriter writer_;
};

}  // namespace asterdrift::node::upstream
