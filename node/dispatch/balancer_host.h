// Runs the balancer: queues its events, and hands out the actions that it decides on.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <string>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "node/config/node_config.h"

namespace asterdrift::node::dispatch {

// Carries out the balancer's actions on requests and endpoints.
class BalancerActionHandler {
 public:
  virtual ~BalancerActionHandler() = default;

  virtual void run(const balancer::SendAttempt& action) = 0;
  virtual void run(const balancer::RejectRequest& action) = 0;
  virtual void run(const balancer::FailRequest& action) = 0;
  virtual void run(const balancer::CancelAttempt& action) = 0;
  virtual void run(const balancer::WatchEndpoints& action) = 0;
  // An exception has ended an action on this request midway. Must not throw.
  virtual void on_action_failed(const std::string& id) = 0;
  // All actions that follow from the end of an attempt have been carried out.
  virtual void on_attempt_result_handled(const balancer::AttemptResult& result) = 0;
};

// Owns the balancer and its timers. Writes the balancer's log lines itself.
class BalancerHost {
 public:
  // actions has to outlive the host.
  BalancerHost(boost::asio::io_context& io, const config::NodeConfig& config, BalancerActionHandler& actions);

  // The balancer is not re-entered: an event that its actions cause is handled after them, before the
  // outermost call returns. An action that throws ends its own request alone: the others are carried out.
  void post(balancer::Event event);

  balancer::EndpointMetrics endpoints() const;

 private:
  void handle_next_event();
  void carry_out(const balancer::Action& action);
  template <class Action>
  void run(const Action& action) {
    action_handler_.run(action);
  }
  void run(const balancer::SetTimer& action);
  void run(const balancer::LogLine& action);

  boost::asio::io_context& io_;
  BalancerActionHandler& action_handler_;
  balancer::Balancer balancer_;
  std::deque<balancer::Event> events_;
  std::vector<balancer::Action> actions_;
  bool is_handling_events_ = false;
};

}  // namespace asterdrift::node::dispatch
