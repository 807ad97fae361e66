#include "node/dispatch/balancer_host.h"

#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::dispatch {
namespace {

using boost::system::error_code;
using timing::now;

// Sets a flag for the lifetime of this object.
class ScopedFlag {
 public:
  explicit ScopedFlag(bool& flag) : flag_(flag) { flag_ = true; }
  ~ScopedFlag() { flag_ = false; }
  ScopedFlag(const ScopedFlag&) = delete;
  ScopedFlag& operator=(const ScopedFlag&) = delete;

 private:
  bool& flag_;
};

const char* action_name(const balancer::SendAttempt&) { return "send attempt"; }
const char* action_name(const balancer::RejectRequest&) { return "reject request"; }
const char* action_name(const balancer::FailRequest&) { return "fail request"; }
const char* action_name(const balancer::CancelAttempt&) { return "cancel attempt"; }
const char* action_name(const balancer::SetTimer&) { return "set timer"; }
const char* action_name(const balancer::WatchEndpoints&) { return "watch endpoints"; }
const char* action_name(const balancer::LogLine&) { return "log line"; }

// Returns an empty string if the action concerns no request.
std::string request_id(const balancer::Action& action) {
  return std::visit(
      [](const auto& each) -> std::string {
        if constexpr (requires { each.id; }) return each.id;
        return {};
      },
      action);
}

std::string describe(const balancer::Action& action) {
  const std::string name = std::visit([](const auto& each) { return action_name(each); }, action);
  const std::string id = request_id(action);
  return id.empty() ? name : name + " " + id;
}

}  // namespace

BalancerHost::BalancerHost(boost::asio::io_context& io, const config::NodeConfig& config,
                           BalancerActionHandler& action_handler)
    : io_(io), action_handler_(action_handler), balancer_(config.settings, config.seed) {}

balancer::EndpointMetrics BalancerHost::endpoints() const { return balancer_.endpoint_metrics(now()); }

void BalancerHost::handle_event(balancer::Event event) {
  events_.push_back(std::move(event));
  if (is_handling_events_) return;
  const ScopedFlag handling(is_handling_events_);
  while (!events_.empty()) handle_next_event();
}

void BalancerHost::handle_next_event() {
  const balancer::Event event = std::move(events_.front());
  events_.pop_front();
  actions_.clear();
  balancer_.handle(now(), event, actions_);
  for (const balancer::Action& action : actions_) execute_action(action);
  if (const auto* result = std::get_if<balancer::AttemptResult>(&event)) {
    action_handler_.on_attempt_result_handled(*result);
  }
}

void BalancerHost::execute_action(const balancer::Action& action) {
  try {
    std::visit([this](const auto& each) { execute(each); }, action);
  } catch (const std::exception& error) {
    telemetry::log_line("balancer action failed: " + describe(action) + ": " + error.what());
    const std::string id = request_id(action);
    if (!id.empty()) action_handler_.on_action_failed(id);
  }
}

void BalancerHost::execute(const balancer::SetTimer& action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, timing::to_time_point(action.at));
  timer->async_wait([this, timer, token = action.token](const error_code& error) {
    if (!error) handle_event(balancer::TimerFired{token});
  });
}

void BalancerHost::execute(const balancer::LogLine& action) { telemetry::log_line(action.text); }

}  // namespace asterdrift::node::dispatch
