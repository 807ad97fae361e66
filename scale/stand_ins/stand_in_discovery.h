// A stand-in for discovery on loopback that serves endpoint lists and watches, simulates faults, and counts
// the messages that it receives and sends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

#include "asterdrift/seconds.h"
#include "scale/stand_ins/discovery_connection.h"

namespace asterdrift::scale {

class StandInDiscovery {
 public:
  StandInDiscovery(boost::asio::io_context& io, std::size_t endpoints, int endpoint_port);
  ~StandInDiscovery();

  int port() const { return port_; }
  const DiscoveryCounts& counts() const { return state_.counts; }
  // Arrival times of the first 1000 requests, on the steady clock.
  const std::vector<Seconds>& polled_at() const { return state_.polled_at; }
  std::uint64_t version() const { return state_.list.version(); }

  // Closes the open connections, unless the new mode is kHang, which leaves them open and sends nothing more.
  void set_mode(DiscoveryMode mode);

  // Makes a new version of the list, in which one endpoint is draining or ready, and sends the change to all
  // watches.
  void set_draining(std::size_t index, bool draining);

  // Sets how many endpoints per second change between ready and draining from now on, one after the other; 0
  // stops the changes.
  void set_change_rate(double changes_per_second);

 private:
  void listen();
  void accept();
  void schedule_change();

  boost::asio::io_context& io_;
  int port_ = 0;
  DiscoveryState state_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket port_holder_;  // bound to the port, reserves it while no socket listens
  std::set<std::shared_ptr<DiscoveryConnection>> connections_;
  boost::asio::steady_timer change_timer_;
  Seconds change_period_ = 0;  // 0: no changes
  std::size_t scheduled_changes_ = 0;
};

}  // namespace asterdrift::scale
