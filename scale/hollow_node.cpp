#include "scale/hollow_node.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace scale {

namespace qu = asterdrift::balancer;

qu::EndpointUpdate update_of(const asterdrift::node::config::EndpointList& list) {
  qu::EndpointUpdate out;
  out.form = list.is_snapshot ? qu::EndpointUpdate::Form::kSnapshot : qu::EndpointUpdate::Form::kIncremental;
  for (const asterdrift::node::config::ListedEndpoint& server : list.endpoints)
    out.endpoints.push_back(server.endpoint);
  return out;
}

HollowNode::HollowNode(boost::asio::io_context& io, const std::string& config,
                       std::function<void(HollowNode&)> acted)
    : io_(io),
      config_(asterdrift::node::config::read_config(config)),
      balancer_(config_.settings, config_.seed),
      discovery_(io, config_,
                 {[this](const asterdrift::node::config::EndpointList& list) { take(list); },
                  [this] {
                    counts_.failures += 1;
                    qu::EndpointUpdate failed;
                    failed.form = qu::EndpointUpdate::Form::kWatchFailed;
                    post(failed);
                  }}),
      acted_(std::move(acted)) {}

void HollowNode::start() {
  post(qu::Started{});
  if (!config_.settings.requires_watch) discovery_.watch();
}

void HollowNode::take(const asterdrift::node::config::EndpointList& list) {
  (list.is_snapshot ? counts_.whole_lists : counts_.changes) += 1;
  seq_ = list.version;
  post(update_of(list));
  if (acted_) acted_(*this);
}

void HollowNode::post(const qu::Event& event) {
  std::vector<qu::Action> actions;
  balancer_.handle(asterdrift::node::base::now(), event, actions);
  for (const qu::Action& action : actions) {
    if (std::holds_alternative<qu::WatchEndpoints>(action)) {
      counts_.watches += 1;
      discovery_.watch();
    } else if (const auto* timer = std::get_if<qu::SetTimer>(&action)) {
      const auto wait = std::make_shared<boost::asio::steady_timer>(io_);
      wait->expires_after(std::chrono::nanoseconds(
          static_cast<std::int64_t>(std::max(0.0, timer->at - asterdrift::node::base::now()) * 1e9)));
      wait->async_wait([this, wait, token = timer->token](const boost::system::error_code& error) {
        if (!error) post(qu::TimerFired{token});
      });
    } else if (const auto* send = std::get_if<qu::SendAttempt>(&action)) {
      counts_.sends += 1;
      sent_to_ = send->endpoint;
    }
  }
}

std::string HollowNode::call() {
  qu::Request request;
  request.id = std::to_string(++calls_);
  request.time_left = 5;
  sent_to_.clear();
  post(request);
  const std::string out = sent_to_;
  if (!out.empty()) post(qu::AttemptResult{request.id, 0, qu::Outcome::kSuccess, 0.001, true});
  return out;
}

}  // namespace scale
