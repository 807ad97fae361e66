// One connection to a server and, while it carries one, the attempt on it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "node/upstream/attempt.h"
#include "node/upstream/attempt_timer.h"
#include "node/upstream/connection_owner.h"
#include "node/upstream/request_sender.h"
#include "node/upstream/response_receiver.h"

namespace asterdrift::node::upstream {

// s; a connection that has been idle for less is rarely stale.
constexpr double kFreshIdleTime = 0.1;

// Carries one attempt at a time. Owned by its pool while it is idle or being established, and by pending
// operations on its socket.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using List = std::list<std::shared_ptr<Connection>>;

  // endpoint: the name of the server. generation: distinguishes the server's processes and addresses.
  Connection(ConnectionOwner& owner, std::string endpoint, std::uint64_t generation);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Takes an attempt; connect() or start_writing() has to follow. The timeout counts from when the request is
  // sent. A request that is not written completely after `write_within` ends as not sent. Both in seconds.
  void begin(AttemptSerial serial, std::shared_ptr<UpstreamRequest> request, double timeout,
             double write_within, AttemptCallbacks callbacks);
  void connect(const boost::asio::ip::tcp::endpoint& address);
  void start_writing();

  // Ends an attempt unless it has ended.
  void stop(AttemptSerial serial, balancer::Outcome outcome);
  // Ends an attempt as not sent unless it has been written completely, or its response has begun.
  void withdraw(AttemptSerial serial);

  AttemptHandle handle() { return {weak_from_this(), serial_}; }
  const std::string& endpoint() const { return endpoint_; }
  std::uint64_t generation() const { return generation_; }

  // Between attempts.
  void set_idle();
  double idle_since() const { return idle_since_; }
  // Whether an idle connection has been closed by its server, or has unexpected bytes.
  bool is_stale();
  void close();

  List::iterator idle_position;  // in the owner's list, while it is idle

 private:
  enum class State { kConnecting, kWriting, kReading, kIdle, kClosed };
  enum class Reuse { kAllowed, kNever };

  template <class Step>
  void guarded(const Step& step);
  void end(balancer::Outcome outcome, Reuse reuse = Reuse::kNever);
  balancer::Outcome outcome_of_break() const;

  void set_timer(double time);
  void on_timer();
  double deadline() const;

  void wait_for_rest();
  void write();
  void on_request_written();
  void wait_writable();

  void wait_readable();
  void on_readable(const boost::system::error_code& error);
  void read();
  void handle_body();
  void start_streaming();
  void on_stream_writable();

  ConnectionOwner& owner_;
  const std::string endpoint_;
  const std::uint64_t generation_;
  State state_ = State::kConnecting;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint address_;  // of the server, from connect() on
  bool is_waiting_readable_ = false;
  double idle_since_ = 0;

  // Of the current attempt. Times are seconds on the steady clock.
  AttemptSerial serial_{};
  std::shared_ptr<UpstreamRequest> request_;
  AttemptCallbacks callbacks_;
  AttemptTimer timer_;
  RequestSender sender_;
  ResponseReceiver response_;
  bool is_blocked_ = false;  // the server takes no bytes now
  double began_at_ = 0;
  double idle_time_ = 0;  // s; how long the connection had been idle before
  double sent_at_ = 0;    // see AttemptEnd
};

}  // namespace asterdrift::node::upstream
