// A connection to the admin server, which carries one request and its response.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "asterdrift/seconds.h"
#include "node/http/head_limit.h"

namespace asterdrift::node::admin {

// The sources of the admin server's responses.
struct AdminCallbacks {
  std::function<bool()> is_ready;               // decides the status of the response to GET /ready
  std::function<std::string()> metrics_report;  // returns the body of the response to GET /metrics
};

// Reads one request, sends the response, and closes the connection.
class AdminConnection : public std::enable_shared_from_this<AdminConnection> {
 public:
  // callbacks has to outlive the connection.
  AdminConnection(const AdminCallbacks& callbacks, boost::asio::ip::tcp::socket socket);

  // on_closed is called once.
  void start(std::function<void()> on_closed);
  void close();
  // Closes a connection whose time limit has expired. A client that has sent an incomplete request gets a 408
  // response.
  void close_overdue();

  // Whether the time limit of the connection's current state has expired.
  bool is_overdue() const;
  bool is_responding() const { return state_ == State::kResponding; }
  bool is_closing() const { return state_ == State::kClosing; }

 private:
  enum class State { kReading, kResponding, kClosing, kClosed };

  void wait_readable();
  void read();
  void read_available();
  void parse();
  void handle_request();
  void respond(unsigned status, const std::string& body = {}, const std::string& headers = {});
  void begin_closing();

  const AdminCallbacks& callbacks_;
  boost::asio::ip::tcp::socket socket_;
  std::function<void()> on_closed_;
  State state_ = State::kReading;
  bool has_received_bytes_ = false;  // whether a part of the request has arrived
  Seconds state_since_;              // time on the steady clock at which state_ was entered
  http::HeadLimit head_limit_;
  std::size_t discarded_bytes_ = 0;  // received after the response
  std::string input_, output_;
  // Not eager, so that the parser stops at the end of the head.
  boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
};

}  // namespace asterdrift::node::admin
