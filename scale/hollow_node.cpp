#include "scale/hollow_node.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace asterdrift::scale {
balancer::EndpointUpdate update_of(const node::config::EndpointList& list) {
  balancer::EndpointUpdate out;
  out.form = list.is_snapshot ? balancer::EndpointUpdate::Form::kSnapshot
                              : balancer::EndpointUpdate::Form::kIncremental;
  for (const node::config::ListedEndpoint& server : list.endpoints) out.endpoints.push_back(server.endpoint);
  return out;
}

HollowNode::HollowNode(boost::asio::io_context& io, const std::string& config,
                       std::function<void(HollowNode&)> acted)
    : io_(io),
      config_(node::config::read_config(config)),
      balancer_(config_.settings, config_.seed),
      discovery_(io, config_,
                 {[this](const node::config::EndpointList& list) { take(list); },
                  [this] {
                    counts_.failures += 1;
                    balancer::EndpointUpdate failed;
                    failed.form = balancer::EndpointUpdate::Form::kWatchFailed;
                    post(failed);
                  }}),
      acted_(std::move(acted)) {}

void HollowNode::start() {
  post(balancer::Started{});
  if (!config_.settings.requires_watch) discovery_.watch();
}

void HollowNode::take(const node::config::EndpointList& list) {
  (list.is_snapshot ? counts_.whole_lists : counts_.changes) += 1;
  seq_ = list.version;
  post(update_of(list));
  if (acted_) acted_(*this);
}

void HollowNode::post(const balancer::Event& event) {
  std::vector<balancer::Action> actions;
  balancer_.handle(node::timing::now(), event, actions);
  for (const balancer::Action& action : actions) {
    if (std::holds_alternative<balancer::WatchEndpoints>(action)) {
      counts_.watches += 1;
      discovery_.watch();
    } else if (const auto* timer = std::get_if<balancer::SetTimer>(&action)) {
      const auto wait = std::make_shared<boost::asio::steady_timer>(io_);
      wait->expires_after(std::chrono::nanoseconds(
          static_cast<std::int64_t>(std::max(0.0, timer->at - node::timing::now()) * 1e9)));
      wait->async_wait([this, wait, token = timer->token](const boost::system::error_code& error) {
        if (!error) post(balancer::TimerFired{token});
      });
    } else if (const auto* send = std::get_if<balancer::SendAttempt>(&action)) {
      counts_.sends += 1;
      sent_to_ = send->endpoint;
    }
  }
}

std::string HollowNode::call() {
  balancer::Request request;
  request.id = std::to_string(++calls_);
  request.time_left = 5;
  sent_to_.clear();
  post(request);
  std::string out = sent_to_;
  if (!out.empty()) post(balancer::AttemptResult{request.id, 0, balancer::Outcome::kSuccess, 0.001, true});
  return out;
}

}  // namespace asterdrift::scale
