#include "node/process/node.h"

#include <algorithm>
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

constexpr auto kProcessGroupPeriod = std::chrono::milliseconds(100);
constexpr double kShareTimeout = 1.5;  // s that a new process waits for the others to split the limits

// After SIGTERM, new connections still come for up to 0.4 s, and SIGKILL no sooner than the longest deadline
// (3 s at most) and 0.7 s after it.
constexpr auto kDrainPeriod = std::chrono::milliseconds(20);
constexpr double kAcceptTime = 0.55;   // s in which new connections are accepted
constexpr double kCloseTime = 0.1;     // s after kAcceptTime, before a node without connections ends
constexpr double kMaxDeadline = 3;     // s
constexpr double kHandOverTime = 1.2;  // s before the longest deadline; clients are sent to other nodes then
constexpr double kHandOverTimeAlone = 0.1;    // s before the final responses, where there is no other node
constexpr double kFinalResponseDelay = 0.45;  // s after the longest deadline; open requests are ended then
constexpr double kWriteTime = 0.1;            // s after the final responses, for writing them

double max_deadline(const balancer::Settings& settings) {
  double longest = 0;
  for (const balancer::RequestClass& request_class : settings.classes) {
    longest = std::max(longest, request_class.timeout);
  }
  return std::min(longest, kMaxDeadline);
}

}  // namespace

Node::Node(const config::NodeConfig& config)
    : io_(1),
      config_(config),
      process_group_(std::getenv("TMPDIR"), config.listen_address),
      limits_(config, 1 + process_group_.count_others(State::kAlive)),
      started_at_(now()),
      final_response_time_(max_deadline(config.settings) + kFinalResponseDelay),
      is_only_replica_(config.settings.replica_count == 1),
      discovery_(io_, config,
                 {[this](const config::EndpointList& list) { dispatcher_.apply(list); },
                  [this] { dispatcher_.handle_watch_failure(); }}),
      body_budget_(limits_.body_bytes),
      metrics_(config.classes),
      dispatcher_(io_, config, body_budget_, metrics_, limits_.upstream_connections,
                  [this] { discovery_.watch(); }),
      server_(io_, config, dispatcher_, body_budget_, metrics_, limits_.downstream_connections,
              process_group_.is_visible()),
      shutdown_signals_(io_, SIGTERM, SIGINT),
      reload_signal_(io_, SIGHUP),
      drain_timer_(io_),
      process_group_timer_(io_) {
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

// An exception from one event handler must not end the others.
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
    if (!error) begin_drain();
  });
}

// Only discovery's address is taken over; other settings apply from the next start. A configuration that
// cannot be read or used changes nothing.
void Node::await_reload() {
  reload_signal_.async_wait([this](const error_code& error, int) {
    if (error) return;
    await_reload();
    try {
      discovery_.change_address(config::load_config().discovery_address);
    } catch (const config::ConfigurationError& failure) {
      log_line(std::string("configuration unchanged: ") + failure.what());
    }
  });
}

void Node::listen() {
  server_.listen();
  log_line("listening on " + net::to_text(server_.address()));
}

// The limits are those of the node, not of each process. Until this process can serve, and the others have
// split the limits with it, the others accept all connections.
void Node::check_process_group() {
  if (!process_group_.is_visible()) return;
  const std::size_t others = process_group_.count_others(State::kAlive);
  if (1 + others != limits_.processes) apply_limits(ResourceLimits(config_, 1 + others));
  process_group_.publish(State::kSharingLimits, others > 0);
  if (may_listen(others)) {
    try {
      listen();
    } catch (const boost::system::system_error& error) {
      listen_error_ = ListenError(error.what());
      return io_.stop();
    }
  }
  process_group_.publish(State::kServing, server_.is_ready());
  process_group_timer_.expires_after(kProcessGroupPeriod);
  process_group_timer_.async_wait([this](const error_code& error) {
    if (!error) check_process_group();
  });
}

bool Node::may_listen(std::size_t others) const {
  if (server_.is_listening() || is_draining()) return false;
  const bool limits_are_shared = process_group_.count_others(State::kSharingLimits) >= others;
  const bool waited = now() - started_at_ >= kShareTimeout;
  return others == 0 || (dispatcher_.is_ready() && (limits_are_shared || waited));
}

void Node::apply_limits(const ResourceLimits& limits) {
  log_line(limits.processes == 1
               ? "only process of this node again: all limits apply"
               : "limits split between the node's processes: " + std::to_string(limits.processes));
  limits_ = limits;
  body_budget_.resize(limits.body_bytes);
  server_.set_max_connections(limits.downstream_connections);
  dispatcher_.set_max_upstream_connections(limits.upstream_connections);
  if (admin_server_) admin_server_->set_max_connections(limits.admin_connections);
}

std::string Node::metrics_report() const {
  const balancer::EndpointSetView endpoints = dispatcher_.endpoints();
  return metrics_.report({server_.pending(), endpoints.listed, endpoints.unavailable});
}

void Node::begin_drain() {
  log_line("draining");
  drain_began_ = now();
  server_.begin_drain();
  process_group_.publish(State::kServing, false);
  continue_drain();
}

void Node::continue_drain() {
  const double since = now() - drain_began_;
  // Another process of this node serves: it accepts new connections, and clients connect to it after their
  // next response. Idle connections stay open for now: the new process has not measured its endpoints yet,
  // and would reject more requests if all clients came at once.
  const bool is_replaced = process_group_.count_others(State::kServing) > 0;
  if (is_replaced) server_.close_after_responses();
  if (is_replaced || since >= kAcceptTime) {
    if (is_accepting_) server_.stop_accepting();
    is_accepting_ = false;
  }
  // Without another node, clients whose connections were closed early would have no service for seconds in
  // which this node can still serve.
  const double hand_over_time = is_only_replica_ && !is_replaced
                                    ? final_response_time_ - kHandOverTimeAlone
                                    : final_response_time_ - kFinalResponseDelay - kHandOverTime;
  if (since >= std::max(kAcceptTime, hand_over_time)) server_.close_idle();
  if (since >= final_response_time_) {
    dispatcher_.expire_all();
    server_.reject_partial_requests();
  }
  if (is_drained(since, is_replaced)) {
    log_line("drained");
    return io_.stop();
  }
  drain_timer_.expires_after(kDrainPeriod);
  drain_timer_.async_wait([this](const error_code& error) {
    if (!error) continue_drain();
  });
}

// A large response may take longer than any deadline, and is not truncated while this process is not killed.
bool Node::is_drained(double since, bool is_replaced) const {
  const bool is_closed = !is_accepting_ && server_.connections() == 0;
  if (is_closed && (is_replaced || since >= kAcceptTime + kCloseTime)) return true;
  return since >= final_response_time_ + kWriteTime && server_.busy_connections() == 0;
}

}  // namespace asterdrift::node::process
