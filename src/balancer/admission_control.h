// Admission control: which requests of a tenant are admitted.
#pragma once

#include "asterdrift/balancer/balancer.h"
#include "balancer/traffic_statistics.h"
#include "support/decaying_statistics.h"
#include "support/random.h"
#include "support/sliding_window.h"

namespace asterdrift::balancer {

// Admits the requests of one tenant up to a rate limit, which is learned from how the tenant's requests end.
// Above the limit a growing fraction is denied (Trypema's suppressed strategy). Rates are in requests per
// second, of this replica.
class TenantAdmission {
 public:
  // The statistics have to outlive the admission.
  TenantAdmission(const Tenant& tenant, const Settings& settings, const TrafficStatistics& traffic);

  // Whether a request is admitted.
  bool admit(double now, support::Random& random);

  // A request has ended, or one of its attempts has. overloaded: late, rejected, timed out or without a
  // connection. in_time: within the latency objective.
  void record_end(double now, bool overloaded, bool in_time);

  TenantMetrics metrics(Seconds now) const;

 private:
  double suppression(const support::SlidingWindow::Sums& sums) const;
  double min_limit(double now) const;
  void review_limit(double now);

  const TrafficStatistics& traffic_;
  double window_s_;
  support::SlidingWindow window_;
  double quota_share_ = 0;  // this replica's share of the tenant's quota
  double limit_ = kInfinity;
  double floor_;                  // fixed lower bound of the limit
  double in_time_multiple_ = 0;   // x the rate of responses in time: a lower bound without a quota
  double increase_fraction_ = 0;  // of the limit, in one review
  double cached_suppression_ = 0;
  double cached_until_ = -kInfinity;
  double ended_ = 0;       // requests since the last review
  double overloaded_ = 0;  // requests of those that have ended
  double next_review_at_ = -kInfinity;
  support::DecayingRate in_time_rate_;
  double first_end_at_ = kInfinity;
};

}  // namespace asterdrift::balancer
