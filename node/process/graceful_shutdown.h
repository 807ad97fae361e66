// Ends a process of the node without failing its clients' requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "asterdrift/balancer/settings.h"
#include "asterdrift/seconds.h"
#include "node/dispatch/request_dispatcher.h"
#include "node/downstream/server.h"
#include "node/process/process_group.h"

namespace asterdrift::node::process {

// Drains the server step by step, and stops the event loop when the server has drained.
class GracefulShutdown {
 public:
  // All arguments have to outlive this object.
  GracefulShutdown(boost::asio::io_context& io, const balancer::Settings& settings,
                   ProcessGroup& process_group, downstream::Server& server,
                   dispatch::RequestDispatcher& dispatcher);

  void begin();
  bool has_begun() const { return began_at_ > 0; }

 private:
  void advance();
  void hand_over_new_connections();
  bool may_stop_accepting(Seconds elapsed, bool is_replaced) const;
  void stop_accepting();
  Seconds close_idle_time(bool is_replaced) const;
  bool is_drained(Seconds elapsed, bool is_replaced) const;

  boost::asio::io_context& io_;
  ProcessGroup& process_group_;
  downstream::Server& server_;
  dispatch::RequestDispatcher& dispatcher_;
  // How long after the beginning the requests that are still in flight get their final responses.
  const Seconds final_response_time_;
  const bool is_only_replica_;  // the tier has no other replica
  // Time on the steady clock at which the shutdown began; 0: the shutdown has not begun.
  Seconds began_at_ = 0;
  bool is_accepting_ = true;
  // When the kernel was told to direct all new connections to another process, on the steady clock; 0: never.
  Seconds handed_over_at_ = 0;
  boost::asio::steady_timer timer_;
};

}  // namespace asterdrift::node::process
