// Runs the balancer: queues its events, and executes the actions that it decides on.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <string>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "node/config/node_config.h"

namespace asterdrift::node::dispatch {

// Executes the balancer's actions on requests and endpoints.
class BalancerActionHandler {
 public:
  virtual ~BalancerActionHandler() = default;

  virtual void execute(const balancer::SendAttempt& action) = 0;
  virtual void execute(const balancer::RejectRequest& action) = 0;
  virtual void execute(const balancer::FailRequest& action) = 0;
  virtual void execute(const balancer::CancelAttempt& action) = 0;
  virtual void execute(const balancer::WatchEndpoints& action) = 0;
  // An action on the request with this id has thrown an exception, and may have been executed in part. Must
  // not throw.
  virtual void on_action_failed(const std::string& id) = 0;
  // The balancer has handled the result of an attempt, and all actions that follow from it have been
  // executed.
  virtual void on_attempt_result_handled(const balancer::AttemptResult& result) = 0;
};

// Owns the balancer and its timers, and writes the balancer's log lines. All other actions are passed to the
// action handler.
class BalancerHost {
 public:
  // action_handler has to outlive the host.
  BalancerHost(boost::asio::io_context& io, const config::NodeConfig& config,
               BalancerActionHandler& action_handler);

  // Lets the balancer handle an event, and executes the resulting actions. The balancer is not re-entered: an
  // event that an action causes is handled after all actions of the current event, before the outermost call
  // returns. An action that throws ends only its own request: the other actions are executed.
  void handle_event(balancer::Event event);

  balancer::EndpointMetrics endpoints() const;

 private:
  void handle_next_event();
  void execute_action(const balancer::Action& action);
  template <class Action>
  void execute(const Action& action) {
    action_handler_.execute(action);
  }
  void execute(const balancer::SetTimer& action);
  void execute(const balancer::LogLine& action);

  boost::asio::io_context& io_;
  BalancerActionHandler& action_handler_;
  balancer::Balancer balancer_;
  std::deque<balancer::Event> events_;
  std::vector<balancer::Action> actions_;
  bool is_handling_events_ = false;
};

}  // namespace asterdrift::node::dispatch
