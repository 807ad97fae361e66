// Records the responses that are cut off since their clients take no byte of them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "asterdrift/seconds.h"
#include "node/net/send_progress.h"
#include "node/telemetry/metrics.h"

namespace asterdrift::node::downstream {

// Counts each of them in the metrics. Logs the first one at once, and the number of the others at most once a
// second.
class StalledResponseLog {
 public:
  // The arguments have to outlive the log.
  StalledResponseLog(boost::asio::io_context& io, telemetry::Metrics& metrics)
      : metrics_(metrics), timer_(io) {}

  // client: the client's address. silence: how long the client's system has taken nothing.
  void record(const std::string& client, Seconds silence, const std::optional<net::SendState>& state);

 private:
  void write_number();

  telemetry::Metrics& metrics_;
  boost::asio::steady_timer timer_;
  bool is_waiting_ = false;   // whether the timer runs
  std::size_t unlogged_ = 0;  // responses since the last log line
};

}  // namespace asterdrift::node::downstream
