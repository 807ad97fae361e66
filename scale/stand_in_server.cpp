#include "scale/stand_in_server.h"

#include <strings.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <utility>

namespace asterdrift::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

const std::string kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'x');

tcp::endpoint loopback(int port) {
  return {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)};
}

}  // namespace

std::size_t message_size(const std::string& bytes) {
  const std::size_t head = bytes.find("\r\n\r\n");
  if (head == std::string::npos) return 0;
  std::size_t body = 0;
  for (std::size_t line = bytes.find("\r\n") + 2; line < head; line = bytes.find("\r\n", line) + 2) {
    if (strncasecmp(bytes.data() + line, "content-length:", 15) == 0)
      body = std::strtoul(bytes.data() + line + 15, nullptr, 10);
  }
  return bytes.size() >= head + 4 + body ? head + 4 + body : 0;
}

class StandInServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(StandInServer& owner, tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), delay_(owner.io_) {}

  void read() {
    socket_.async_read_some(asio::buffer(bytes_),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (error) return;
                              self->in_.append(self->bytes_.data(), size);
                              self->take();
                            });
  }

 private:
  void take() {
    const std::size_t size = message_size(in_);
    if (size == 0) return read();
    in_.erase(0, size);
    if (owner_.delay_ <= 0) return answer();
    delay_.expires_after(std::chrono::nanoseconds(static_cast<std::int64_t>(owner_.delay_ * 1e9)));
    delay_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->answer();
    });
  }

  void answer() {
    owner_.answered_ += 1;
    asio::async_write(socket_, asio::buffer(kAnswer),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (!error) self->take();
                      });
  }

  StandInServer& owner_;
  tcp::socket socket_;
  asio::steady_timer delay_;
  std::array<char, 8192> bytes_;
  std::string in_;
};

StandInServer::StandInServer(asio::io_context& io, double delay_s)
    : io_(io), acceptor_(io, loopback(0)), delay_(delay_s) {
  accept();
}

void StandInServer::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      socket.set_option(tcp::no_delay(true));
      std::make_shared<Connection>(*this, std::move(socket))->read();
    }
    accept();
  });
}

class PassThrough::Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(asio::io_context& io, tcp::socket caller) : caller_(std::move(caller)), server_(io) {}

  void start(const tcp::endpoint& to) {
    server_.async_connect(to, [self = shared_from_this()](const error_code& error) {
      if (error) return;
      self->server_.set_option(tcp::no_delay(true));
      self->pass(self->caller_, self->server_, self->there_);
      self->pass(self->server_, self->caller_, self->back_);
    });
  }

 private:
  using Bytes = std::array<char, 16384>;

  void pass(tcp::socket& from, tcp::socket& to, Bytes& bytes) {
    from.async_read_some(asio::buffer(bytes), [self = shared_from_this(), &from, &to, &bytes](
                                                  const error_code& error, std::size_t size) {
      if (error) return self->close();
      asio::async_write(to, asio::buffer(bytes, size),
                        [self, &from, &to, &bytes](const error_code& failed, std::size_t) {
                          if (failed) return self->close();
                          self->pass(from, to, bytes);
                        });
    });
  }
  void close() {
    error_code ignored;
    caller_.close(ignored);
    server_.close(ignored);
  }

  tcp::socket caller_, server_;
  Bytes there_, back_;
};

PassThrough::PassThrough(asio::io_context& io, int to_port)
    : io_(io), acceptor_(io, loopback(0)), to_(loopback(to_port)) {
  accept();
}

void PassThrough::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      socket.set_option(tcp::no_delay(true));
      std::make_shared<Pair>(io_, std::move(socket))->start(to_);
    }
    accept();
  });
}

}  // namespace asterdrift::scale
