// Counts evictions, and logs their number once per period.
#include "node/downstream/eviction_log.h"

#include <chrono>
#include <string>

#include "node/telemetry/log.h"

namespace asterdrift::node::downstream {
namespace {

constexpr std::chrono::seconds kLogPeriod{1};

}  // namespace

void EvictionLog::record(const telemetry::Eviction& eviction) {
  metrics_.count_eviction(eviction);
  if (eviction.is_recent) ++recent_;
  if (!eviction.client_is_waiting) ++without_waiting_client_;
  if (++evictions_ > 1) return;
  timer_.expires_after(kLogPeriod);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) write_line();
  });
}

void EvictionLog::write_line() {
  telemetry::log_line("downstream connections evicted: " + std::to_string(evictions_) + ", " +
                      std::to_string(recent_) + " of them recent, " +
                      std::to_string(without_waiting_client_) + " while no client was waiting");
  evictions_ = recent_ = without_waiting_client_ = 0;
}

}  // namespace asterdrift::node::downstream
