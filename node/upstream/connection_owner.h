// The interface of a connection pool to its connections, and the resources that they share.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "asterdrift/seconds.h"
#include "node/memory/memory_budget.h"
#include "node/telemetry/metrics.h"

namespace asterdrift::node::upstream {

class Connection;

// Notified of state changes of its connections. Has to outlive them.
class ConnectionOwner {
 public:
  ConnectionOwner(boost::asio::io_context& io, memory::MemoryBudget& body_budget, telemetry::Metrics& metrics,
                  Seconds connect_timeout)
      : io(io), body_budget(body_budget), metrics(metrics), connect_timeout(connect_timeout) {}
  virtual ~ConnectionOwner() = default;

  // A connection is no longer being established: it has been established, has failed or has been closed.
  virtual void on_connect_ended(const std::shared_ptr<Connection>& connection) = 0;
  // An attempt has ended, and its connection may carry another attempt. The owner makes the connection idle
  // or closes it.
  virtual void on_reusable(const std::shared_ptr<Connection>& connection) = 0;
  // An idle connection has been closed by its server, or has received unexpected bytes. It closes itself
  // after this call.
  virtual void on_idle_ended(const std::shared_ptr<Connection>& connection) = 0;
  // A connection that had been idle was reset shortly after its next request began.
  virtual void on_stale_reset() = 0;
  // A connection has been closed or destroyed.
  virtual void on_closed() = 0;

  boost::asio::io_context& io;
  memory::MemoryBudget& body_budget;
  telemetry::Metrics& metrics;
  const Seconds connect_timeout;
  // One buffer for all connections, since the process has one thread.
  std::array<char, 16UL * 1024> read_buffer = {};
};

}  // namespace asterdrift::node::upstream
