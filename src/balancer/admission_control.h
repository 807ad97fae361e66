// Admission control: decides which requests of a tenant are admitted.
#pragma once

#include "asterdrift/balancer/balancer.h"
#include "asterdrift/seconds.h"
#include "balancer/traffic_statistics.h"
#include "support/decaying_statistics.h"
#include "support/random.h"
#include "support/sliding_window.h"

namespace asterdrift::balancer {

// Admits the requests of one tenant up to a rate limit, which is learned from how the tenant's requests end.
// Above the limit a growing fraction of requests is rejected (Trypema's suppressed strategy). All rates and
// limits are in requests per second of this replica.
class TenantAdmission {
 public:
  // `traffic` has to outlive this object.
  TenantAdmission(const Tenant& tenant, const Settings& settings, const TrafficStatistics& traffic);

  // Decides whether to admit a request.
  bool admit(Seconds now, support::Random& random);

  // Records that a request or one of its attempts has ended. `overloaded`: the request was late, rejected,
  // timed out or got no connection. `in_time`: the response came within the latency objective.
  void record_outcome(Seconds now, bool overloaded, bool in_time);

  TenantMetrics metrics(Seconds now) const;

 private:
  double suppression(const support::SlidingWindow::Counts& counts) const;
  double min_limit(Seconds now) const;
  void review_limit(Seconds now);

  const TrafficStatistics& traffic_;
  Seconds window_length_;
  support::SlidingWindow window_;
  double quota_share_ = 0;  // share of this replica in the tenant's quota
  double limit_ = kInfinity;
  double fixed_min_limit_;
  // Without a quota, the limit is at least this many times the rate of responses in time.
  double in_time_limit_factor_ = 0;
  double increase_fraction_ = 0;  // fraction by which one review may increase the limit
  double cached_suppression_ = 0;
  Seconds suppression_cached_until_ = -kInfinity;
  double ended_requests_ = 0;       // number of requests that have ended since the last review
  double overloaded_requests_ = 0;  // number of ended requests that were overloaded
  Seconds next_review_at_ = -kInfinity;
  support::DecayingRate in_time_rate_;
  Seconds first_outcome_at_ = kInfinity;
};

}  // namespace asterdrift::balancer
