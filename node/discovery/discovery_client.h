// Watches discovery for endpoint lists.
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

#include "node/config/node_config.h"
#include "node/discovery/endpoint_watch.h"
#include "node/discovery/poll_budget.h"

namespace asterdrift::node::discovery {

// Has one watch at a time, and starts another one after it has failed. After a change of discovery's address,
// a second watch at the new address takes over with its first list.
class DiscoveryClient {
 public:
  struct Callbacks {
    std::function<void(const config::EndpointList&)> on_list;
    std::function<void()> on_watch_failed;
  };

  // config has to outlive the client.
  DiscoveryClient(boost::asio::io_context& io, const config::NodeConfig& config, Callbacks callbacks);
  ~DiscoveryClient();

  // Starts a watch unless one is active. Where the balancer requests watches, it also decides when to poll
  // again; otherwise this client does. In both cases the poll budget may delay the watch.
  void ensure_watch();

  // Discovery is at another address from now on. The old watch stays active until the first list from there.
  void change_address(const boost::asio::ip::tcp::endpoint& address);

 private:
  bool is_pushed() const { return !config_.settings.requires_watch; }
  bool needs_snapshot() const { return !version_ || snapshot_next_; }
  double jitter() { return std::uniform_real_distribution<>(0, 1)(random_); }

  std::shared_ptr<EndpointWatch> new_watch();
  void start_watch();
  void start_successor();
  void schedule(double wait, std::function<void()> call);
  double retry_wait();
  void handle_list(const EndpointWatch* watch, const config::EndpointList& list, std::size_t first_bytes);
  void handle_error(const EndpointWatch* watch, const WatchError& error);
  void log_error(const boost::asio::ip::tcp::endpoint& address, const WatchError& error);
  void record_error(const WatchError& error);

  boost::asio::io_context& io_;
  const config::NodeConfig& config_;
  const Callbacks callbacks_;
  boost::asio::ip::tcp::endpoint address_;
  std::optional<std::uint64_t> version_;  // of this address's last list; without it a snapshot is needed
  bool snapshot_next_ = false;            // the changes since then are not valid
  bool had_snapshot_ = false;             // from this address
  std::shared_ptr<EndpointWatch> current_;
  std::shared_ptr<EndpointWatch> successor_;  // at a new address, until its first list
  bool is_changing_address_ = false;          // no list has come from address_ yet
  bool is_connected_ = true;                  // the last event was a list and not an error
  std::string last_invalid_;                  // message of the last list that was not valid, logged once
  PollBudget budget_;
  std::minstd_rand random_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace asterdrift::node::discovery
