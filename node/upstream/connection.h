// One connection to a server and, while it carries one, the attempt on it.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "node/memory/memory_budget.h"
#include "node/telemetry/metrics.h"
#include "node/upstream/attempt.h"
#include "node/upstream/request_writer.h"
#include "node/upstream/response_parser.h"

namespace asterdrift::node::upstream {

// s; a connection that has been idle for less has hardly ever gone stale.
constexpr double kFreshIdleTime = 0.1;

// What the connections of a pool share, and whom they tell of their changes. Outlives them.
class ConnectionOwner {
 public:
  ConnectionOwner(boost::asio::io_context& io, memory::MemoryBudget& body_budget, telemetry::Metrics& metrics,
                  double connect_timeout)
      : io(io), body_budget(body_budget), metrics(metrics), connect_timeout(connect_timeout) {}
  virtual ~ConnectionOwner() = default;

  // A connection is no longer being established.
  virtual void on_connect_ended(const std::shared_ptr<Connection>& connection) = 0;
  // The attempt has ended, and the connection may carry another one: it is kept, or closed.
  virtual void on_reusable(const std::shared_ptr<Connection>& connection) = 0;
  // An idle connection has been closed by its server, or has unexpected bytes; it closes itself after this.
  virtual void on_idle_ended(const std::shared_ptr<Connection>& connection) = 0;
  // A connection that had been idle broke under its next request.
  virtual void on_stale_reset() = 0;
  virtual void on_closed() = 0;

  boost::asio::io_context& io;
  memory::MemoryBudget& body_budget;
  telemetry::Metrics& metrics;
  const double connect_timeout;                    // s
  std::array<char, 16UL * 1024> read_buffer = {};  // one for all: the process has one thread
};

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
  // Ends an attempt as not sent unless it has been written completely, or is being answered.
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

  template <class Step>
  void guarded(const Step& step);
  void end(balancer::Outcome outcome, bool may_reuse);
  balancer::Outcome outcome_of_break() const;

  void set_timer(double time);
  void on_timer();
  double deadline() const;

  void write();
  bool write_piece();
  bool prepare_next_piece();
  void on_request_written();
  void wait_writable();

  void wait_readable();
  void read();
  void handle_body();
  void start_streaming();

  ConnectionOwner& owner_;
  const std::string endpoint_;
  const std::uint64_t generation_;
  State state_ = State::kConnecting;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  bool is_waiting_readable_ = false;
  double idle_since_ = 0;

  // Of the current attempt. Times on the steady clock.
  AttemptSerial serial_{};
  std::shared_ptr<UpstreamRequest> request_;
  AttemptCallbacks callbacks_;
  RequestWriter writer_;
  std::optional<ResponseParser> parser_;
  memory::MemoryReservation body_reservation_;         // for the response's body
  std::shared_ptr<memory::BodyStream> response_body_;  // once it is streamed
  bool is_blocked_ = false;                            // the server takes no bytes now
  double began_at_ = 0;
  double idle_time_ = 0;  // s; how long the connection had been idle before
  double timeout_ = 0;    // s
  double timeout_at_ = 0, write_by_ = 0;
  double sent_at_ = 0;       // see AttemptEnd
  double progress_at_ = 0;   // when a byte was last sent or received
  double buffer_until_ = 0;  // a response of unknown length is buffered until then; 0: not set
};

}  // namespace asterdrift::node::upstream
