// The log lines about rejected requests.
#pragma once

#include <optional>

#include "asterdrift/balancer/actions.h"
#include "balancer/traffic_statistics.h"

namespace asterdrift::balancer {

// Summarizes the rejections of a period in one log line.
class SheddingLog {
 public:
  enum class Reason { kTenantLimit, kNoCapacity };

  // Counts one rejection. Returns the line where the period since the first counted rejection is over.
  std::optional<LogLine> count(Reason reason, double now);

 private:
  int over_tenant_limit_ = 0;
  int without_capacity_ = 0;
  double next_line_at_ = kInfinity;
};

}  // namespace asterdrift::balancer
