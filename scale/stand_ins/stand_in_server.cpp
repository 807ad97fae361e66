// A stand-in for the servers behind a node that responds to each request with 200.
#include "scale/stand_ins/stand_in_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "support/http_messages.h"

namespace asterdrift::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadBufferBytes = 8192;
constexpr std::size_t kResponseBodyBytes = 200;

const std::string kResponse = test_support::with_content_length(
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", std::string(kResponseBodyBytes, 'x'));

}  // namespace

tcp::endpoint loopback_address(int port) {
  return {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)};
}

class StandInServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, Seconds response_delay)
      : socket_(std::move(socket)),
        response_delay_(response_delay),
        response_timer_(socket_.get_executor()) {}

  void read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (error) return;
                              self->received_.append(self->buffer_.data(), size);
                              self->handle_request();
                            });
  }

 private:
  void handle_request() {
    const std::size_t size = test_support::complete_message_size(received_);
    if (size == 0) return read();
    received_.erase(0, size);
    if (response_delay_ <= 0) return respond();
    const std::chrono::duration<double> delay(response_delay_);
    response_timer_.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(delay));
    response_timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->respond();
    });
  }

  void respond() {
    asio::async_write(socket_, asio::buffer(kResponse),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (!error) self->handle_request();
                      });
  }

  tcp::socket socket_;
  Seconds response_delay_;
  asio::steady_timer response_timer_;
  std::array<char, kReadBufferBytes> buffer_;
  std::string received_;
};

StandInServer::StandInServer(asio::io_context& io, Seconds response_delay)
    : acceptor_(io, loopback_address(0)), response_delay_(response_delay) {
  accept();
}

void StandInServer::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      socket.set_option(tcp::no_delay(true));
      std::make_shared<Connection>(std::move(socket), response_delay_)->read();
    }
    accept();
  });
}

}  // namespace asterdrift::scale
