// A server behind a node: it responds to each request with 200.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace asterdrift::scale {

// An address on loopback; port 0 is any free port.
boost::asio::ip::tcp::endpoint loopback_address(int port);

// Listens on a free port of loopback.
class StandInServer {
 public:
  // `response_delay_s` 0: responds at once.
  StandInServer(boost::asio::io_context& io, double response_delay_s);
  int port() const { return acceptor_.local_endpoint().port(); }

 private:
  class Connection;
  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  double response_delay_s_;
};

}  // namespace asterdrift::scale
