// A single-threaded TCP proxy that copies bytes unparsed, with one server connection for each client
// connection. Its cost is the lower bound for any intermediary between client and server on one thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace asterdrift::scale {

// Listens on a free port of loopback.
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
