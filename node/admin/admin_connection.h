// One operator's connection to the admin server: one request, one response.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace asterdrift::node::admin {

// What the admin server reports.
struct AdminCallbacks {
  std::function<bool()> is_ready;
  std::function<std::string()> metrics_report;
};

// Reads one request, responds, and closes.
class AdminConnection : public std::enable_shared_from_this<AdminConnection> {
 public:
  // callbacks have to outlive the connection. on_closed is called once.
  AdminConnection(const AdminCallbacks& callbacks, boost::asio::ip::tcp::socket socket);

  void start(std::function<void()> on_closed);
  void close();
  // Closes a connection that is overdue; a peer that has sent an incomplete request gets a response.
  void close_overdue();

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
  bool has_bytes_ = false;  // of a request
  double state_since_;
  std::size_t head_bytes_ = 0, discarded_bytes_ = 0;
  std::string input_, output_;
  // Not eager, so that it stops at the end of the head.
  boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
};

}  // namespace asterdrift::node::admin
