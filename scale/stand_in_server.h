// What stands behind a node, and beside it for comparison: servers that answer everything, and a bare
// pass-through.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace asterdrift::scale {

// Answers each request with 200 after `delay_s`; 0: at once.
class StandInServer {
 public:
  StandInServer(boost::asio::io_context& io, double delay_s);
  int port() const { return acceptor_.local_endpoint().port(); }
  std::uint64_t answered() const { return answered_; }

 private:
  class Connection;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  double delay_;
  std::uint64_t answered_ = 0;
};

// Passes bytes on, each connection to one of its own: the least that anything between a caller and a server
// costs on one thread.
class PassThrough {
 public:
  PassThrough(boost::asio::io_context& io, int to_port);
  int port() const { return acceptor_.local_endpoint().port(); }

 private:
  class Pair;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint to_;
};

// Length of the first whole message in `bytes`: its head and a body of Content-Length. 0: not whole yet.
std::size_t message_size(const std::string& bytes);

}  // namespace asterdrift::scale
