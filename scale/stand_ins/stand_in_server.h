// A stand-in for the servers behind a node that responds to each request with 200.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "asterdrift/seconds.h"

namespace asterdrift::scale {

// A TCP address on loopback; binding to port 0 picks a free port.
boost::asio::ip::tcp::endpoint loopback_address(int port);

// Listens on a free port of loopback.
class StandInServer {
 public:
  // A `response_delay` of 0 responds at once.
  StandInServer(boost::asio::io_context& io, Seconds response_delay);
  int port() const { return acceptor_.local_endpoint().port(); }

 private:
  class Connection;
  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Seconds response_delay_;
};

}  // namespace asterdrift::scale
