// Counts responses that are cut off, and logs them with what the system knows of their connections.
#include "node/downstream/stalled_response_log.h"

#include <array>
#include <chrono>
#include <cstdio>

#include "node/telemetry/log.h"

namespace asterdrift::node::downstream {
namespace {

constexpr std::chrono::seconds kLogPeriod{1};

std::string format_seconds(Seconds time) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f s", time);
  return text.data();
}

std::string describe(const std::optional<net::SendState>& state) {
  if (!state) return "";
  return ", receive window " + std::to_string(state->window_bytes) + " bytes, " +
         std::to_string(state->acknowledged_bytes) + " bytes received on the connection";
}

}  // namespace

void StalledResponseLog::record(const std::string& client, Seconds silence,
                                const std::optional<net::SendState>& state) {
  metrics_.count_stalled_response();
  if (is_waiting_) {
    ++unlogged_;
    return;
  }
  telemetry::log_line("response cut off: client " + client + " took no byte for " + format_seconds(silence) +
                      describe(state));
  is_waiting_ = true;
  timer_.expires_after(kLogPeriod);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) write_number();
  });
}

void StalledResponseLog::write_number() {
  is_waiting_ = false;
  if (unlogged_ == 0) return;
  telemetry::log_line("responses cut off: " + std::to_string(unlogged_) +
                      " more, whose clients took no byte");
  unlogged_ = 0;
}

}  // namespace asterdrift::node::downstream
