// Keeps a watch on discovery's endpoint lists.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "asterdrift/seconds.h"
#include "node/config/node_config.h"
#include "node/discovery/endpoint_watch.h"
#include "node/discovery/poll_budget.h"

namespace asterdrift::node::discovery {

// Has one watch at a time, and starts another one after the watch has failed. After a change of discovery's
// address, a second watch at the new address replaces the current watch when its first list arrives.
class DiscoveryClient {
 public:
  struct Callbacks {
    std::function<void(const config::EndpointList&)> on_list;
    std::function<void()> on_watch_failed;
  };

  // config has to outlive the client.
  DiscoveryClient(boost::asio::io_context& io, const config::NodeConfig& config, Callbacks callbacks);
  ~DiscoveryClient();

  // Starts a watch unless one is active. If the balancer requests watches, the balancer also decides when to
  // poll again; otherwise this client does. In both cases the poll budget may delay the watch.
  void ensure_watch();

  // Polls discovery at another address from now on. The current watch stays active until the first list from
  // the new address.
  void change_address(const boost::asio::ip::tcp::endpoint& address);

 private:
  bool lists_are_pushed() const { return !config_.settings.requires_watch; }
  bool needs_snapshot() const { return !version_ || next_is_snapshot_; }
  double jitter() { return std::uniform_real_distribution<>(0, 1)(random_); }

  std::shared_ptr<EndpointWatch> create_watch();
  void start_watch();
  void start_successor();
  void schedule(Seconds delay, std::function<void()> call);
  Seconds retry_delay();
  void handle_list(const EndpointWatch* watch, const config::EndpointList& list,
                   std::size_t first_list_bytes);
  void handle_error(const EndpointWatch* watch, const WatchError& error);
  void log_error(const boost::asio::ip::tcp::endpoint& address, const WatchError& error);
  void charge_error(const WatchError& error);

  boost::asio::io_context& io_;
  const config::NodeConfig& config_;
  const Callbacks callbacks_;
  boost::asio::ip::tcp::endpoint address_;
  // The version of the last list from address_; none: a snapshot is needed.
  std::optional<std::uint64_t> version_;
  bool next_is_snapshot_ = false;  // the changes since version_ are not valid
  bool had_snapshot_ = false;      // a snapshot has arrived from address_
  std::shared_ptr<EndpointWatch> current_;
  // The watch at a new address, until the first list from that address arrives.
  std::shared_ptr<EndpointWatch> successor_;
  // True from a change of address_ until the first list from the new address arrives.
  bool is_changing_address_ = false;
  bool is_connected_ = true;               // true at the start and after a list, false after an error
  std::string last_invalid_list_message_;  // why the last invalid list was rejected; logged once
  PollBudget budget_;
  std::minstd_rand random_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace asterdrift::node::discovery
