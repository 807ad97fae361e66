// One process of the node: owns its components, and controls its start, reload, replacement and shutdown.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#include "asterdrift/seconds.h"
#include "node/admin/admin_server.h"
#include "node/config/node_config.h"
#include "node/discovery/discovery_client.h"
#include "node/dispatch/request_dispatcher.h"
#include "node/downstream/server.h"
#include "node/memory/memory_budget.h"
#include "node/net/address.h"
#include "node/process/graceful_shutdown.h"
#include "node/process/process_group.h"
#include "node/process/resource_limits.h"
#include "node/telemetry/metrics.h"

namespace asterdrift::node::process {

// The process could bind its address, but not listen on it.
class ListenError : public std::runtime_error {
 public:
  ListenError(const boost::asio::ip::tcp::endpoint& address, const std::string& reason)
      : std::runtime_error("cannot listen on " + net::to_text(address) + ": " + reason) {}
};

// Serves clients and operators from one thread.
class Node {
 public:
  // Binds the addresses. Throws boost::system::system_error if an address is not available, and
  // std::invalid_argument if the balancer cannot use the settings. config has to outlive the node.
  explicit Node(const config::NodeConfig& config);

  // Serves until the process has drained after SIGTERM or SIGINT. Throws ListenError.
  void run();

 private:
  void run_event_loop();
  void await_shutdown();
  void await_reload();
  void open_admin_server(const boost::asio::ip::tcp::endpoint& address);
  void listen();

  // Coordination with other processes of this node during a replacement.
  void check_process_group();
  bool may_listen(std::size_t others) const;
  void apply_limits(const ResourceLimits& limits);

  std::string metrics_report() const;

  boost::asio::io_context io_;
  const config::NodeConfig& config_;
  ProcessGroup process_group_;
  ResourceLimits limits_;
  const Seconds started_at_;
  discovery::DiscoveryClient discovery_;
  memory::MemoryBudget body_budget_;
  dispatch::RequestHistory request_history_;
  telemetry::Metrics metrics_;
  dispatch::RequestDispatcher dispatcher_;
  downstream::Server server_;
  std::optional<admin::AdminServer> admin_server_;
  boost::asio::signal_set shutdown_signals_, reload_signal_;
  boost::asio::steady_timer process_group_timer_;
  GracefulShutdown graceful_shutdown_;
  std::optional<ListenError> listen_error_;
};

}  // namespace asterdrift::node::process
