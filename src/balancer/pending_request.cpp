// Queries over the attempts of a request.
#include "balancer/pending_request.h"

#include <algorithm>

#include "balancer/traffic_statistics.h"

namespace asterdrift::balancer {

bool PendingRequest::has_open_attempt() const { return std::ranges::any_of(attempts, &Attempt::is_open); }

bool PendingRequest::may_have_run() const { return std::ranges::any_of(attempts, &Attempt::may_have_run); }

double PendingRequest::retry_cost() const {
  return !attempts.empty() && attempts.back().connect_failed() ? 0 : 1;
}

Seconds PendingRequest::dedup_time_left(Seconds now) const {
  Seconds time_left = kInfinity;
  if (rules->idempotency != Idempotency::kIdempotencyKey) return time_left;
  for (std::size_t i = 0; i + 1 < attempts.size(); ++i) {
    if (!attempts[i].may_have_run()) continue;
    time_left = std::min(time_left, attempts[i].sent_at() + rules->dedup_window - now);
  }
  return time_left;
}

}  // namespace asterdrift::balancer
