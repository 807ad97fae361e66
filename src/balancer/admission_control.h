// Which requests are admitted: Trypema's suppressed strategy for each tenant, with a limit that the replica
// learns from how the tenant's requests end.
#pragma once

#include "asterdrift/balancer/balancer.h"
#include "balancer/traffic_statistics.h"
#include "support/random.h"
#include "support/sliding_window.h"

namespace asterdrift::balancer {

// The requests of one tenant. All rates are in requests per second.
class TenantAdmission {
 public:
  TenantAdmission(const Tenant& tenant, const Settings& settings, const TrafficStatistics& traffic);

  // Whether a request is admitted.
  bool admit(double now, support::Random& random);
  // A request has ended. overloaded: late, rejected, timed out or without a connection.
  void record_end(double now, bool overloaded, bool in_time);
  TenantView view(double now) const;

 private:
  double suppression(const support::SlidingWindow::Sums& sums) const;
  double least_limit(double now) const;

  const TrafficStatistics& traffic_;
  double window_s_;
  support::SlidingWindow window_;
  double quota_part_ = 0;  // this replica's part of the quota
  double limit_ = kInfinity, floor_;
  double floor_multiple_ = 0;  // of what is answered in time, in the floor; only without a quota
  double rise_part_ = 0;       // of the limit, in one rise
  double cached_factor_ = 0, cached_until_ = -kInfinity;
  double ended_ = 0, overloaded_ = 0, next_review_ = -kInfinity;  // requests since the last review
  support::DecayingRate in_time_;
  double first_end_at_ = kInfinity;
};

}  // namespace asterdrift::balancer
