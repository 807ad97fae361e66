// Sends responses to a client.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "node/dispatch/messages.h"
#include "node/downstream/response_writer.h"
#include "node/net/send_progress.h"

namespace asterdrift::node::downstream {

// Is notified of the progress of a response. No call follows after ResponseSender::stop().
class ResponseSenderOwner {
 public:
  virtual ~ResponseSenderOwner() = default;

  // Neither the owner nor its sender is destroyed while the returned pointer exists.
  virtual std::shared_ptr<void> keep_alive() = 0;
  // Runs a step of the sender, and handles its exceptions.
  virtual void guard(const std::function<void()>& step) = 0;
  virtual void on_response_written() = 0;
  // Called when the server has ended the body before it was complete.
  virtual void on_response_truncated() = 0;
  virtual void on_write_failed() = 0;
};

// Sends one response at a time. A streamed body is forwarded while it arrives.
class ResponseSender {
 public:
  // owner and socket have to outlive the sender.
  ResponseSender(ResponseSenderOwner& owner, boost::asio::ip::tcp::socket& socket)
      : owner_(owner), socket_(socket) {}

  void send(dispatch::DownstreamResponse&& response, const ResponseWriter::Options& options);
  // Abandons the current response.
  void stop();

  // Whether a write to the socket is pending.
  bool is_writing() const { return is_writing_; }
  // Looks how the client's system takes the bytes that have been written. To be called from time to time.
  void observe_progress();
  const net::SendProgress& progress() const { return progress_; }

 private:
  void forward_stream();
  void write();
  void write_available();
  void wait_writable();
  void on_piece_written();
  template <class Step>
  void post_end(Step step);
  void write_next();

  ResponseSenderOwner& owner_;
  boost::asio::ip::tcp::socket& socket_;
  ResponseWriter writer_;
  net::SendProgress progress_;
  bool is_sending_ = false;        // whether a response has begun and is not complete
  bool is_writing_ = false;        // whether a piece of the response is being written
  std::size_t written_bytes_ = 0;  // how many bytes of the piece have been written
};

}  // namespace asterdrift::node::downstream
