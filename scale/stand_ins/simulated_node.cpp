// A node with the real balancer and the real watch on discovery, but without sockets to clients and servers,
// so that one process can run many.
#include "scale/stand_ins/simulated_node.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "asterdrift/seconds.h"
#include "node/timing/clock.h"
#include "scale/stand_ins/endpoint_updates.h"

namespace asterdrift::scale {
namespace {

constexpr Seconds kRequestTimeout = 5;
constexpr Seconds kResponseLatency = 0.001;

}  // namespace

SimulatedNode::SimulatedNode(boost::asio::io_context& io, const std::string& config,
                             ListHandler on_list_applied)
    : io_(io),
      config_(node::config::parse_config(config)),
      balancer_(config_.settings, config_.seed),
      discovery_(io, config_,
                 {[this](const node::config::EndpointList& list) { handle_list(list); },
                  [this] { handle_failed_watch(); }}),
      on_list_applied_(std::move(on_list_applied)) {}

void SimulatedNode::start() {
  handle(balancer::ReplicaStarted{});
  if (!config_.settings.requires_watch) discovery_.ensure_watch();
}

bool SimulatedNode::has_endpoints() const {
  return balancer_.endpoint_metrics(node::timing::now()).listed > 0;
}

std::string SimulatedNode::handle_request() {
  balancer::Request request;
  request.id = std::to_string(++last_request_);
  request.time_left = kRequestTimeout;
  attempted_endpoint_.clear();
  handle(request);
  std::string endpoint = attempted_endpoint_;
  if (!endpoint.empty()) {
    handle(balancer::AttemptResult{request.id, 0, balancer::Outcome::kSuccess, kResponseLatency, true});
  }
  return endpoint;
}

void SimulatedNode::handle_list(const node::config::EndpointList& list) {
  (list.is_snapshot ? counts_.snapshots : counts_.incremental_lists) += 1;
  list_version_ = list.version;
  handle(to_endpoint_update(list));
  if (on_list_applied_) on_list_applied_(*this);
}

void SimulatedNode::handle_failed_watch() {
  counts_.failed_watches += 1;
  balancer::EndpointUpdate failed;
  failed.form = balancer::EndpointUpdate::Form::kWatchFailed;
  handle(failed);
}

void SimulatedNode::handle(const balancer::Event& event) {
  std::vector<balancer::Action> actions;
  balancer_.handle(node::timing::now(), event, actions);
  for (const balancer::Action& action : actions) carry_out(action);
}

void SimulatedNode::carry_out(const balancer::Action& action) {
  if (std::holds_alternative<balancer::WatchEndpoints>(action)) {
    counts_.watches += 1;
    discovery_.ensure_watch();
  } else if (const auto* timer = std::get_if<balancer::SetTimer>(&action)) {
    start_timer(*timer);
  } else if (const auto* attempt = std::get_if<balancer::SendAttempt>(&action)) {
    counts_.attempts += 1;
    attempted_endpoint_ = attempt->endpoint;
  }
}

void SimulatedNode::start_timer(const balancer::SetTimer& timer) {
  const std::chrono::duration<double> delay(std::max(0.0, timer.at - node::timing::now()));
  const auto steady_timer = std::make_shared<boost::asio::steady_timer>(io_);
  steady_timer->expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(delay));
  steady_timer->async_wait([this, steady_timer, token = timer.token](const boost::system::error_code& error) {
    if (!error) handle(balancer::TimerFired{token});
  });
}

}  // namespace asterdrift::scale
