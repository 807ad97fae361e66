// Counts rejections by reason.
#include "balancer/shedding_log.h"

#include <string>

namespace asterdrift::balancer {
namespace {

constexpr Seconds kSummaryPeriod = 5;

}  // namespace

std::optional<LogLine> SheddingLog::count_rejection(Reason reason, Seconds now) {
  if (over_tenant_limit_ + without_capacity_ == 0) next_line_at_ = now + kSummaryPeriod;
  int& rejections = reason == Reason::kTenantLimit ? over_tenant_limit_ : without_capacity_;
  ++rejections;
  if (now < next_line_at_) return std::nullopt;
  LogLine line{"load shed: " + std::to_string(over_tenant_limit_) + " over their tenant's limit, " +
               std::to_string(without_capacity_) + " without an endpoint with capacity"};
  over_tenant_limit_ = 0;
  without_capacity_ = 0;
  return line;
}

}  // namespace asterdrift::balancer
