// The HTTP server for operators: serves GET /ready and GET /metrics, one request per connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "node/admin/admin_connection.h"

namespace asterdrift::node::admin {

// Has a limit of its own for its connections, so that it responds however many clients and idle operators are
// connected to the node.
class AdminServer {
 public:
  // One more file descriptor is reserved, for accepting a connection at this limit.
  static constexpr std::size_t kMaxConnections = 12;

  using Callbacks = AdminCallbacks;

  // Throws boost::system::system_error if the node cannot listen on the address.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
              Callbacks callbacks);

  void set_max_connections(std::size_t connections) { max_connections_ = connections; }
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  void accept();
  bool accept_one();
  void start_connection(boost::asio::ip::tcp::socket socket);
  void evict_one();
  void close_overdue();

  boost::asio::io_context& io_;
  const Callbacks callbacks_;
  std::size_t max_connections_ = kMaxConnections;
  std::list<std::shared_ptr<AdminConnection>> connections_;  // the oldest is first
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_, overdue_timer_;
};

}  // namespace asterdrift::node::admin
