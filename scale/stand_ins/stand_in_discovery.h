// A discovery on loopback: endpoint lists, watches, and what can go wrong with them. It counts what it
// receives and sends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

#include "scale/stand_ins/discovery_connection.h"

namespace asterdrift::scale {

class StandInDiscovery {
 public:
  StandInDiscovery(boost::asio::io_context& io, std::size_t endpoints, int endpoint_port);
  ~StandInDiscovery();

  int port() const { return port_; }
  const DiscoveryCounts& counts() const { return state_.counts; }
  // When each request came, in s on the steady clock; the first thousand.
  const std::vector<double>& polled_at() const { return state_.polled_at; }
  std::uint64_t version() const { return state_.list.version(); }

  // Closes the open connections, except for kHang, which sends nothing more on them.
  void set_mode(DiscoveryMode mode);

  // One endpoint drains, or is ready again: a new version, which is sent to all watches.
  void set_draining(std::size_t index, bool draining);

  // Changes per second from now on, at one endpoint after the other; 0: none.
  void set_change_rate(double changes_per_second);

 private:
  void listen();
  void accept();
  void schedule_change();

  boost::asio::io_context& io_;
  int port_ = 0;
  DiscoveryState state_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket port_holder_;  // reserves the port while nothing listens on it
  std::set<std::shared_ptr<DiscoveryConnection>> connections_;
  boost::asio::steady_timer change_timer_;
  double change_period_ = 0;  // s; 0: no changes
  std::size_t scheduled_changes_ = 0;
};

}  // namespace asterdrift::scale
