// What the connections of a pool share.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "node/memory/memory_budget.h"
#include "node/telemetry/metrics.h"

namespace asterdrift::node::upstream {

class Connection;

// Is notified of its connections' changes, and outlives them.
class ConnectionOwner {
 public:
  ConnectionOwner(boost::asio::io_context& io, memory::MemoryBudget& body_budget, telemetry::Metrics& metrics,
                  double connect_timeout)
      : io(io), body_budget(body_budget), metrics(metrics), connect_timeout(connect_timeout) {}
  virtual ~ConnectionOwner() = default;

  // A connection is no longer being established.
  virtual void on_connect_ended(const std::shared_ptr<Connection>& connection) = 0;
  // The attempt has ended, and the connection may carry another one: the owner makes it idle or closes it.
  virtual void on_reusable(const std::shared_ptr<Connection>& connection) = 0;
  // An idle connection has been closed by its server, or has unexpected bytes; it closes itself after this.
  virtual void on_idle_ended(const std::shared_ptr<Connection>& connection) = 0;
  // A connection that had been idle was reset under its next request.
  virtual void on_stale_reset() = 0;
  virtual void on_closed() = 0;

  boost::asio::io_context& io;
  memory::MemoryBudget& body_budget;
  telemetry::Metrics& metrics;
  const double connect_timeout;                    // s
  std::array<char, 16UL * 1024> read_buffer = {};  // shared, since the process has one thread
};

}  // namespace asterdrift::node::upstream
