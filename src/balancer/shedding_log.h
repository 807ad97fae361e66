// Log lines about rejected requests.
#pragma once

#include <optional>

#include "asterdrift/balancer/actions.h"
#include "asterdrift/seconds.h"
#include "balancer/traffic_statistics.h"

namespace asterdrift::balancer {

// Summarizes the rejections of a period in one log line.
class SheddingLog {
 public:
  enum class Reason { kTenantLimit, kNoCapacity };

  // Counts one rejection. Returns the log line if the period since the first counted rejection is over, and
  // begins a new count.
  std::optional<LogLine> count_rejection(Reason reason, Seconds now);

 private:
  int over_tenant_limit_ = 0;
  int without_capacity_ = 0;
  Seconds next_line_at_ = kInfinity;
};

}  // namespace asterdrift::balancer
