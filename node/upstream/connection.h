// One connection to a server, and the attempt that it carries.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "asterdrift/seconds.h"
#include "node/upstream/attempt.h"
#include "node/upstream/attempt_timer.h"
#include "node/upstream/connection_owner.h"
#include "node/upstream/request_sender.h"
#include "node/upstream/response_receiver.h"

namespace asterdrift::node::upstream {

// A connection that has been idle for less than this is rarely stale.
constexpr Seconds kFreshIdleTime = 0.1;
// A server that takes no byte of a request for this long is blocked. Less than the 0.5 s after its timeout by
// which a client must have its response.
constexpr Seconds kBlockedTime = 0.4;

// Carries one attempt at a time. Owned by its pool while the connection is idle or being established, and by
// the pending operations on its socket.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using List = std::list<std::shared_ptr<Connection>>;

  // endpoint: the name of the server. generation: differs between the server's incarnations and addresses.
  Connection(ConnectionOwner& owner, std::string endpoint, std::uint64_t generation);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Begins an attempt; connect() or start_writing() has to follow. For the timeouts see
  // ConnectionPool::start_attempt().
  void begin_attempt(AttemptId attempt_id, std::shared_ptr<UpstreamRequest> request, Seconds timeout,
                     Seconds write_timeout, AttemptCallbacks callbacks);
  void connect(const boost::asio::ip::tcp::endpoint& address);
  void start_writing();

  // Ends an attempt unless it has already ended.
  void stop(AttemptId attempt_id, balancer::Outcome outcome);
  // Ends an attempt unless its request has been written completely, or its response has begun. The attempt
  // ends as not sent, or as failed if its server has taken no bytes for a while.
  void withdraw(AttemptId attempt_id);

  // See ConnectionPool::upload_stalled_at().
  Seconds upload_stalled_at(AttemptId attempt_id);

  AttemptHandle handle() { return {weak_from_this(), attempt_id_}; }
  const std::string& endpoint() const { return endpoint_; }
  std::uint64_t generation() const { return generation_; }

  // Makes the connection idle: it waits for its next attempt.
  void set_idle();
  Seconds idle_since() const { return idle_since_; }
  // Whether an idle connection has been closed by its server, or has received unexpected bytes.
  bool is_stale();
  void close();

  // The position in the owner's list of idle connections. Valid while this connection is idle.
  List::iterator idle_position;

 private:
  enum class State { kConnecting, kWriting, kReading, kIdle, kClosed };
  enum class Reuse { kAllowed, kNever };

  template <class Step>
  void guard(const Step& step);
  void end_attempt(balancer::Outcome outcome, Reuse reuse = Reuse::kNever);
  balancer::Outcome outcome_of_connection_loss() const;

  void set_timer(Seconds time);
  void on_timer();
  Seconds deadline() const;
  Seconds next_check_at() const;
  // Whether a streamed request body is being written, and no response has begun.
  bool is_uploading() const {
    return state_ == State::kWriting && request_->body_stream && !response_.is_streaming();
  }

  void wait_for_body_stream();
  void write();
  void on_request_written();
  void wait_writable();

  void wait_readable();
  void on_readable(const boost::system::error_code& error);
  void read();
  void handle_body_bytes();
  void start_streaming();
  void on_stream_writable();

  ConnectionOwner& owner_;
  const std::string endpoint_;
  const std::uint64_t generation_;
  State state_ = State::kConnecting;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint address_;  // the address of the server, set by connect()
  bool is_waiting_readable_ = false;
  Seconds idle_since_ = 0;

  // The current attempt. Times are on the steady clock.
  AttemptId attempt_id_{};
  std::shared_ptr<UpstreamRequest> request_;
  AttemptCallbacks callbacks_;
  AttemptTimer timer_;
  RequestSender sender_;
  ResponseReceiver response_;
  bool is_waiting_writable_ = false;  // the socket takes no bytes now
  Seconds began_at_ = 0;
  Seconds idle_time_ = 0;            // how long the connection was idle before this attempt
  Seconds body_stream_sent_at_ = 0;  // see UpstreamResult
};

}  // namespace asterdrift::node::upstream
