// Records which connections the server closes to make room for others.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>

#include "node/telemetry/metrics.h"

namespace asterdrift::node::downstream {

// Counts each eviction in the metrics, and logs their number once a second at most.
class EvictionLog {
 public:
  // The arguments have to outlive this.
  EvictionLog(boost::asio::io_context& io, telemetry::Metrics& metrics) : metrics_(metrics), timer_(io) {}

  void record(const telemetry::Eviction& eviction);

 private:
  void write_line();

  telemetry::Metrics& metrics_;
  boost::asio::steady_timer timer_;
  // Since the last line. The timer runs while there are any.
  std::size_t evictions_ = 0, recent_ = 0, without_waiting_client_ = 0;
};

}  // namespace asterdrift::node::downstream
