// Writes responses to a client's socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "node/dispatch/messages.h"
#include "node/downstream/response_writer.h"

namespace asterdrift::node::downstream {

// Is notified of the response that its sender writes. No call follows after ResponseSender::stop().
class ResponseSenderOwner {
 public:
  virtual ~ResponseSenderOwner() = default;

  // Neither the owner nor its sender is destroyed while this exists.
  virtual std::shared_ptr<void> keep_alive() = 0;
  // Runs a step of the sender, and handles its exceptions.
  virtual void guard(const std::function<void()>& step) = 0;
  // The client has taken all bytes so far, and more are about to be written.
  virtual void on_response_progress() = 0;
  virtual void on_response_written() = 0;
  // The server has sent no complete body.
  virtual void on_response_truncated() = 0;
  virtual void on_write_failed() = 0;
};

// Writes one response at a time. A streamed body is forwarded as it arrives.
class ResponseSender {
 public:
  // owner and socket have to outlive the sender.
  ResponseSender(ResponseSenderOwner& owner, boost::asio::ip::tcp::socket& socket)
      : owner_(owner), socket_(socket) {}

  void send(dispatch::DownstreamResponse&& response, const ResponseWriter::Options& options);
  // Abandons the response.
  void stop();

  // Whether the client has been sent bytes that it has not taken yet.
  bool is_writing() const { return is_writing_; }

 private:
  void forward_stream();
  void write();
  void write_next();

  ResponseSenderOwner& owner_;
  boost::asio::ip::tcp::socket& socket_;
  ResponseWriter writer_;
  bool is_sending_ = false;  // a response
  bool is_writing_ = false;  // a piece of it
};

}  // namespace asterdrift::node::downstream
