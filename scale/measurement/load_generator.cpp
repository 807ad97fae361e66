// An open-loop load generator for HTTP: requests are sent at random times that do not depend on the
// responses, and a latency counts from the time at which its request was due.
#include "scale/measurement/load_generator.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "scale/stand_ins/stand_in_server.h"
#include "support/http_messages.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using test_support::steady_seconds;

constexpr std::size_t kReadBufferBytes = 8192;
constexpr Seconds kFirstRequestDelay = 0.01;
// Position of the status code in a response, after "HTTP/1.1 ".
constexpr std::size_t kStatusCodePosition = 9;

std::chrono::steady_clock::time_point to_time_point(Seconds time) {
  const std::chrono::duration<double> since_epoch(time);
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch));
}

class LoadGenerator {
 public:
  explicit LoadGenerator(const Load& load)
      : load_(load),
        server_address_(loopback_address(load.port)),
        send_timer_(io_),
        random_(load.seed),
        interval_(load.requests_per_second),
        next_due_(steady_seconds() + kFirstRequestDelay) {}

  LoadResult run() {
    schedule_next();
    const Seconds expected_duration = static_cast<double>(load_.requests) / interval_.lambda();
    const Seconds time_limit = expected_duration * 1.5 + 1 + load_.response_timeout;
    io_.run_until(to_time_point(steady_seconds() + time_limit));
    result_.failed = load_.requests - result_.latencies.size();
    return std::move(result_);
  }

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    Seconds request_due = 0;
    std::string request, received;
    std::array<char, kReadBufferBytes> buffer;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void schedule_next() {
    send_timer_.expires_at(to_time_point(next_due_));
    send_timer_.async_wait([this](const error_code& error) {
      if (error) return;
      while (sent_ < load_.requests && next_due_ <= steady_seconds()) {
        send_request(next_due_);
        next_due_ += interval_(random_);
      }
      if (sent_ < load_.requests) schedule_next();
    });
  }

  void send_request(Seconds due) {
    sent_ += 1;
    const ConnectionPtr connection = take_connection();
    connection->request_due = due;
    connection->request = "GET /api?x=1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: r" +
                          std::to_string(sent_) +
                          "\r\nRequest-Class: read\r\nTenant: acme\r\nRequest-Timeout-Ms: 4000\r\n\r\n";
    if (connection->socket.is_open()) return write(connection);
    connection->socket.async_connect(server_address_, [this, connection](const error_code& error) {
      if (error) return;
      connection->socket.set_option(tcp::no_delay(true));
      write(connection);
    });
  }

  // Takes an idle connection, or creates one that is not yet connected.
  ConnectionPtr take_connection() {
    if (idle_connections_.empty()) {
      result_.connections += 1;
      return std::make_shared<Connection>(io_);
    }
    ConnectionPtr connection = std::move(idle_connections_.back());
    idle_connections_.pop_back();
    return connection;
  }

  void write(const ConnectionPtr& connection) {
    asio::async_write(connection->socket, asio::buffer(connection->request),
                      [this, connection](const error_code& error, std::size_t) {
                        if (!error) read(connection);
                      });
  }

  void read(const ConnectionPtr& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer), [this, connection](const error_code& error, std::size_t size) {
          if (error) return;
          connection->received.append(connection->buffer.data(), size);
          const std::size_t response_size = test_support::complete_message_size(connection->received);
          if (response_size == 0) return read(connection);
          record_response(*connection);
          connection->received.erase(0, response_size);
          idle_connections_.push_back(connection);
        });
  }

  void record_response(const Connection& connection) {
    const bool is_success = connection.received.compare(kStatusCodePosition, 3, "200") == 0;
    if (is_success) result_.latencies.push_back(steady_seconds() - connection.request_due);
  }

  Load load_;
  asio::io_context io_{1};
  tcp::endpoint server_address_;
  asio::steady_timer send_timer_;
  std::minstd_rand random_;
  std::exponential_distribution<> interval_;  // seconds between two requests
  Seconds next_due_;
  std::size_t sent_ = 0;
  std::vector<ConnectionPtr> idle_connections_;
  LoadResult result_;
};

}  // namespace

LoadResult send_load(const Load& load) { return LoadGenerator(load).run(); }

}  // namespace asterdrift::scale
