#include "node/process/node.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>

#include "node/net/address.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::process {
namespace {

using boost::system::error_code;
using telemetry::log_line;
using timing::now;
using State = ProcessGroup::State;

constexpr auto kProcessGroupCheckInterval = std::chrono::milliseconds(100);
// How long a new process waits for the others to split the node's limits with it.
constexpr Seconds kLimitsSplitTimeout = 1.5;

}  // namespace

Node::Node(const config::NodeConfig& config)
    : io_(1),
      config_(config),
      process_group_(std::getenv("TMPDIR"), config.listen_address),
      limits_(config, 1 + process_group_.count_others(State::kAlive)),
      started_at_(now()),
      discovery_(io_, config,
                 {[this](const config::EndpointList& list) { dispatcher_.on_endpoint_list(list); },
                  [this] { dispatcher_.on_watch_failed(); }}),
      body_budget_(limits_.body_bytes),
      request_history_(process_group_.request_history_path()),
      metrics_(config.classes),
      dispatcher_(io_, config, body_budget_, metrics_, limits_.upstream_connections, request_history_,
                  [this] { discovery_.ensure_watch(); }),
      server_(io_, config, dispatcher_, body_budget_, metrics_, limits_.downstream_connections,
              process_group_.is_detectable()),
      shutdown_signals_(io_, SIGTERM, SIGINT),
      reload_signal_(io_, SIGHUP),
      process_group_timer_(io_),
      graceful_shutdown_(io_, config.settings, process_group_, server_, dispatcher_) {
  if (config.admin_address) open_admin_server(*config.admin_address);
}

void Node::open_admin_server(const boost::asio::ip::tcp::endpoint& address) {
  admin::AdminServer::Callbacks callbacks;
  callbacks.is_ready = [this] { return server_.is_ready(); };
  callbacks.metrics_report = [this] { return metrics_report(); };
  admin_server_.emplace(io_, address, std::move(callbacks));
  log_line("admin server on " + net::to_text(admin_server_->address()));
}

void Node::run() {
  if (limits_.processes == 1) listen();
  dispatcher_.start();
  check_process_group();
  await_shutdown();
  await_reload();
  run_event_loop();
  if (listen_error_) throw *listen_error_;
}

// An exception from one event handler is logged, and the remaining handlers still run.
void Node::run_event_loop() {
  while (!io_.stopped()) {
    try {
      io_.run();
    } catch (const std::exception& error) {
      log_line(std::string("event handler failed: ") + error.what());
    }
  }
}

void Node::await_shutdown() {
  shutdown_signals_.async_wait([this](const error_code& error, int) {
    if (!error) graceful_shutdown_.begin();
  });
}

// Reloads the configuration on SIGHUP. Only discovery's address is applied; changes of other fields apply
// from the next start of the process. A configuration that cannot be read or used changes nothing.
void Node::await_reload() {
  reload_signal_.async_wait([this](const error_code& error, int) {
    if (error) return;
    await_reload();
    try {
      discovery_.change_address(config::load_config().discovery_address);
    } catch (const config::ConfigurationError& config_error) {
      log_line(std::string("configuration unchanged: ") + config_error.what());
    }
  });
}

void Node::listen() {
  server_.listen();
  log_line("listening on " + net::to_text(server_.address()));
}

// The configured limits are those of the node, not of each of its processes. Until this process can serve,
// and the other processes have split the limits with it, the other processes accept all connections.
void Node::check_process_group() {
  if (!process_group_.is_detectable()) return;
  const std::size_t others = process_group_.count_others(State::kAlive);
  if (1 + others != limits_.processes) apply_limits(ResourceLimits(config_, 1 + others));
  process_group_.publish(State::kSharingLimits, others > 0);
  if (may_listen(others)) {
    try {
      listen();
    } catch (const boost::system::system_error& error) {
      listen_error_ = ListenError(config_.listen_address, error.what());
      return io_.stop();
    }
  }
  process_group_.publish(State::kServing, server_.is_ready());
  process_group_timer_.expires_after(kProcessGroupCheckInterval);
  process_group_timer_.async_wait([this](const error_code& error) {
    if (!error) check_process_group();
  });
}

bool Node::may_listen(std::size_t others) const {
  if (server_.is_listening() || graceful_shutdown_.has_begun()) return false;
  const bool limits_are_split = process_group_.count_others(State::kSharingLimits) >= others;
  const bool timed_out = now() - started_at_ >= kLimitsSplitTimeout;
  return others == 0 || (dispatcher_.is_ready() && (limits_are_split || timed_out));
}

void Node::apply_limits(const ResourceLimits& limits) {
  log_line(limits.processes == 1
               ? "only process of this node again: all limits apply"
               : "limits split between the node's processes: " + std::to_string(limits.processes));
  limits_ = limits;
  body_budget_.resize(limits.body_bytes);
  server_.set_max_connections(limits.downstream_connections);
  dispatcher_.set_max_upstream_connections(limits.upstream_connections);
  if (limits.processes == 1) server_.end_hand_over();
  if (admin_server_) admin_server_->set_max_connections(limits.admin_connections);
}

std::string Node::metrics_report() const {
  const balancer::EndpointMetrics endpoints = dispatcher_.endpoint_metrics();
  return metrics_.report({.pending_requests = server_.pending_requests(),
                          .listed_endpoints = endpoints.listed,
                          .unavailable_endpoints = endpoints.unavailable,
                          .reserved_body_bytes = body_budget_.reserved(),
                          .streamed_body_bytes = body_budget_.streamed(),
                          .blocked_uploads = server_.blocked_uploads()});
}

}  // namespace asterdrift::node::process
