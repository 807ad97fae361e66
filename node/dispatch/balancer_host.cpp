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

// Sets a flag for as long as it exists.
class ScopedFlag {
 public:
  explicit ScopedFlag(bool& flag) : flag_(flag) { flag_ = true; }
  ~ScopedFlag() { flag_ = false; }
  ScopedFlag(const ScopedFlag&) = delete;
  ScopedFlag& operator=(const ScopedFlag&) = delete;

 private:
  bool& flag_;
};

const char* name_of(const balancer::SendAttempt&) { return "send attempt"; }
const char* name_of(const balancer::RejectRequest&) { return "reject request"; }
const char* name_of(const balancer::FailRequest&) { return "fail request"; }
const char* name_of(const balancer::CancelAttempt&) { return "cancel attempt"; }
const char* name_of(const balancer::SetTimer&) { return "set timer"; }
const char* name_of(const balancer::WatchEndpoints&) { return "watch endpoints"; }
const char* name_of(const balancer::LogLine&) { return "log line"; }

// Empty where an action concerns no request.
std::string request_id_of(const balancer::Action& action) {
  return std::visit(
      [](const auto& each) -> std::string {
        if constexpr (requires { each.id; }) return each.id;
        return {};
      },
      action);
}

std::string describe(const balancer::Action& action) {
  const std::string name = std::visit([](const auto& each) { return name_of(each); }, action);
  const std::string id = request_id_of(action);
  return id.empty() ? name : name + " " + id;
}

}  // namespace

BalancerHost::BalancerHost(boost::asio::io_context& io, const config::NodeConfig& config,
                           BalancerActionHandler& actions)
    : io_(io), action_handler_(actions), balancer_(config.settings, config.seed) {}

balancer::EndpointMetrics BalancerHost::endpoints() const { return balancer_.endpoint_metrics(now()); }

void BalancerHost::post(balancer::Event event) {
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
  for (const balancer::Action& action : actions_) carry_out(action);
  if (const auto* result = std::get_if<balancer::AttemptResult>(&event)) {
    action_handler_.on_attempt_result_handled(*result);
  }
}

void BalancerHost::carry_out(const balancer::Action& action) {
  try {
    std::visit([this](const auto& each) { run(each); }, action);
  } catch (const std::exception& error) {
    telemetry::log_line("balancer action failed: " + describe(action) + ": " + error.what());
    const std::string id = request_id_of(action);
    if (!id.empty()) action_handler_.on_action_failed(id);
  }
}

void BalancerHost::run(const balancer::SetTimer& action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, timing::to_time_point(action.at));
  timer->async_wait([this, timer, token = action.token](const error_code& error) {
    if (!error) post(balancer::TimerFired{token});
  });
}

void BalancerHost::run(const balancer::LogLine& action) { telemetry::log_line(action.text); }

}  // namespace asterdrift::node::dispatch
