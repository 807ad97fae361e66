// Records the connections that are closed to make room for others.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>

#include "node/telemetry/metrics.h"

namespace asterdrift::node::downstream {

// Counts each eviction in the metrics, and logs the number of evictions at most once a second.
class EvictionLog {
 public:
  // The arguments have to outlive the log.
  EvictionLog(boost::asio::io_context& io, telemetry::Metrics& metrics) : metrics_(metrics), timer_(io) {}

  void record(const telemetry::Eviction& eviction);

 private:
  void write_line();

  telemetry::Metrics& metrics_;
  boost::asio::steady_timer timer_;
  // Numbers of evictions since the last log line. The timer runs unless evictions_ is 0.
  std::size_t evictions_ = 0, recent_ = 0, without_waiting_client_ = 0;
};

}  // namespace asterdrift::node::downstream
