// A single-threaded TCP proxy that copies bytes unparsed, with one server connection for each client
// connection. Its cost is the lower bound for any intermediary between client and server on one thread.
#include "scale/stand_ins/forwarding_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <memory>
#include <utility>

#include "scale/stand_ins/stand_in_server.h"

namespace asterdrift::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kForwardBufferBytes = 16384;

}  // namespace

// Copies bytes in both directions between a client's connection and its server connection.
class ForwardingProxy::Tunnel : public std::enable_shared_from_this<Tunnel> {
 public:
  Tunnel(asio::io_context& io, tcp::socket client) : client_(std::move(client)), server_(io) {}

  void connect(const tcp::endpoint& server_address) {
    server_.async_connect(server_address, [self = shared_from_this()](const error_code& error) {
      if (error) return;
      self->server_.set_option(tcp::no_delay(true));
      self->forward(self->client_, self->server_, self->request_bytes_);
      self->forward(self->server_, self->client_, self->response_bytes_);
    });
  }

 private:
  using Buffer = std::array<char, kForwardBufferBytes>;

  void forward(tcp::socket& from, tcp::socket& to, Buffer& buffer) {
    from.async_read_some(asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](
                                                   const error_code& error, std::size_t size) {
      if (error) return self->close();
      asio::async_write(to, asio::buffer(buffer, size),
                        [self, &from, &to, &buffer](const error_code& write_error, std::size_t) {
                          if (write_error) return self->close();
                          self->forward(from, to, buffer);
                        });
    });
  }

  void close() {
    error_code ignored;
    client_.close(ignored);
    server_.close(ignored);
  }

  tcp::socket client_, server_;
  Buffer request_bytes_, response_bytes_;
};

ForwardingProxy::ForwardingProxy(asio::io_context& io, int server_port)
    : io_(io), acceptor_(io, loopback_address(0)), server_address_(loopback_address(server_port)) {
  accept();
}

void ForwardingProxy::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      socket.set_option(tcp::no_delay(true));
      std::make_shared<Tunnel>(io_, std::move(socket))->connect(server_address_);
    }
    accept();
  });
}

}  // namespace asterdrift::scale
