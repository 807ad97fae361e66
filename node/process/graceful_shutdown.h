// Ends a process of the node without failing its clients' requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "asterdrift/balancer/settings.h"
#include "node/dispatch/request_dispatcher.h"
#include "node/downstream/server.h"
#include "node/process/process_group.h"

namespace asterdrift::node::process {

// Drains the server step by step, and stops the event loop when it has drained.
class GracefulShutdown {
 public:
  // All arguments have to outlive this.
  GracefulShutdown(boost::asio::io_context& io, const balancer::Settings& settings,
                   ProcessGroup& process_group, downstream::Server& server,
                   dispatch::RequestDispatcher& dispatcher);

  void begin();
  bool has_begun() const { return began_at_ > 0; }

 private:
  void advance();
  void hand_over_new_connections();
  bool may_stop_accepting(double elapsed, bool is_replaced) const;
  void stop_accepting();
  double close_idle_time(bool is_replaced) const;
  bool is_drained(double elapsed, bool is_replaced) const;

  boost::asio::io_context& io_;
  ProcessGroup& process_group_;
  downstream::Server& server_;
  dispatch::RequestDispatcher& dispatcher_;
  const double final_response_time_;  // s from the beginning; open requests are ended then
  const bool is_only_replica_;        // of its tier
  double began_at_ = 0;               // on the steady clock; 0: has not begun
  bool is_accepting_ = true;
  double handed_over_at_ = 0;  // on the steady clock; 0: another process does not get all new connections
  boost::asio::steady_timer timer_;
};

}  // namespace asterdrift::node::process
