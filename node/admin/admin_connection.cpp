// Reads an operator's request, responds, and enforces the limits of the connection.
#include "node/admin/admin_connection.h"

#include <array>
#include <boost/asio/write.hpp>
#include <exception>
#include <limits>
#include <string_view>
#include <utility>

#include "node/http/response.h"
#include "node/http/status.h"
#include "node/net/address.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::admin {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using timing::now;

constexpr std::size_t kMaxHeadBytes = 8UL * 1024;
// The limit for bytes that the client sends after its request.
constexpr std::size_t kMaxDiscardedBytes = 64UL * 1024;
constexpr std::size_t kReadBufferBytes = 4096;
// The time limit for receiving a request, and separately for sending its response.
constexpr Seconds kRequestTimeout = 2.2;
// The time limit for a client to close its connection after the response.
constexpr Seconds kCloseTimeout = 1;

}  // namespace

AdminConnection::AdminConnection(const AdminCallbacks& callbacks, tcp::socket socket)
    : callbacks_(callbacks), socket_(std::move(socket)), state_since_(now()), head_limit_(kMaxHeadBytes) {
  // The body is not read. If no limit were set, Beast 1.74 would reject every Content-Length as too large.
  parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
}

void AdminConnection::start(std::function<void()> on_closed) {
  on_closed_ = std::move(on_closed);
  read();
}

bool AdminConnection::is_overdue() const {
  return now() - state_since_ > (is_closing() ? kCloseTimeout : kRequestTimeout);
}

void AdminConnection::close_overdue() {
  error_code ignored;
  if (state_ == State::kReading && has_received_bytes_)
    socket_.write_some(asio::buffer(http::kRequestTimeoutResponse), ignored);
  close();
}

void AdminConnection::close() {
  const auto self = shared_from_this();  // on_closed may release the last other reference to this connection
  state_ = State::kClosed;
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) on_closed();
  error_code ignored;
  socket_.close(ignored);
}

void AdminConnection::wait_readable() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    if (self->state_ == State::kClosed) return;
    if (error) return self->close();
    self->read();
  });
}

// An exception, such as one for lack of memory, ends only this connection.
void AdminConnection::read() {
  try {
    read_available();
  } catch (const std::exception& error) {
    telemetry::log_line("admin connection failed: client " + net::peer_address(socket_) + ": " +
                        error.what());
    close();
  }
}

void AdminConnection::read_available() {
  std::array<char, kReadBufferBytes> bytes;
  error_code error;
  const std::size_t size = socket_.read_some(asio::buffer(bytes), error);
  if (error == asio::error::would_block) return wait_readable();
  if (error) return close();
  if (is_closing()) {
    discarded_bytes_ += size;
    return discarded_bytes_ > kMaxDiscardedBytes ? close() : wait_readable();
  }
  has_received_bytes_ = true;
  input_.append(bytes.data(), size);
  parse();
}

void AdminConnection::parse() {
  if (head_limit_.has_too_many_fields(input_)) return respond(http::kHeaderFieldsTooLarge);
  error_code error;
  const std::size_t used = parser_.put(asio::buffer(input_), error);
  head_limit_.add_parsed(std::string_view(input_).substr(0, used));
  input_.erase(0, used);
  const bool is_too_long = head_limit_.is_too_long() || input_.size() > kMaxHeadBytes;
  if (is_too_long || error == beast_http::error::header_limit) return respond(http::kHeaderFieldsTooLarge);
  if (parser_.is_header_done()) return handle_request();
  if (error && error != beast_http::error::need_more) return respond(http::kBadRequest);
  wait_readable();
}

void AdminConnection::handle_request() {
  const auto& head = parser_.get();
  const std::string_view target(head.target().data(), head.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path != "/ready" && path != "/metrics") return respond(http::kNotFound);
  if (head.method() != beast_http::verb::get) return respond(http::kMethodNotAllowed, {}, "Allow: GET\r\n");
  if (path == "/ready") return respond(callbacks_.is_ready() ? http::kOk : http::kServiceUnavailable);
  respond(http::kOk, callbacks_.metrics_report(), "Content-Type: text/plain\r\n");
}

void AdminConnection::respond(unsigned status, const std::string& body, const std::string& headers) {
  state_ = State::kResponding;
  state_since_ = now();
  output_ = http::status_line(status).append(headers);
  output_ += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](const error_code& error, std::size_t) {
                      if (self->state_ != State::kResponding) return;
                      if (error) return self->close();
                      self->begin_closing();
                    });
}

// Shuts down the sending side first, and closes the connection after its client. Closing a socket with unread
// bytes resets the connection, and the client may lose the response.
void AdminConnection::begin_closing() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  state_ = State::kClosing;
  state_since_ = now();
  read();
}

}  // namespace asterdrift::node::admin
