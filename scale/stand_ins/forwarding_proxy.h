// A proxy that forwards bytes, each connection to one of its own: the minimum that anything between a client
// and a server costs on one thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace asterdrift::scale {

class ForwardingProxy {
 public:
  ForwardingProxy(boost::asio::io_context& io, int server_port);
  int port() const { return acceptor_.local_endpoint().port(); }

 private:
  class Tunnel;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint server_address_;
};

}  // namespace asterdrift::scale
