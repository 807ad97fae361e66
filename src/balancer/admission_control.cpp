// Learns rate limits from the outcomes of requests, and suppresses requests above them.
#include "balancer/admission_control.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::balancer {
namespace {

constexpr double kBucketS = 0.1;         // width of a bucket of the sliding window
constexpr int kLastSecondBuckets = 10;   // the short rate is that of the last second
constexpr int kMinWindowBuckets = 15;    // an empty window admits this much of the limit at once
constexpr int kMaxWindowBuckets = 80;    // a longer window would detect a burst after its end
constexpr double kWindowRequests = 15;   // that a window should hold, to average over random arrivals
constexpr double kHardLimitFactor = 20;  // x the limit, denied requests included; above it all are denied
constexpr double kSuppressionCacheS = 0.1;

constexpr double kInitialLimitFactor = 1.2;          // x the share of the quota
constexpr double kInitialLowTrafficLimitFactor = 4;  // the same where few requests arrive, in random bursts
constexpr double kReviewPeriodS = 1;                 // the delay of feedback
constexpr double kMinReviewRequests = 5;
constexpr double kOverloadedFraction = 0.1;  // of ended requests, above which the limit decreases
constexpr double kHealthyFraction = 0.03;    // of ended requests, up to which the limit may increase
constexpr double kDecreaseFactor = 0.75;     // x the limit, in one review
constexpr double kIncreaseFraction = 0.1;  // of the limit, in one review, for traffic of full priority weight

constexpr double kMinFloorRate = 2;   // requests/s, over all replicas
constexpr double kFloorFactor = 1.2;  // x the share of the quota; replicas do not get equal shares of traffic
constexpr double kDeepFloorFactor = 6;  // the same past tier 0, where a rejection wastes the work done above
constexpr double kInTimeTimeConstantS = 5;
constexpr double kMinKnownFraction = 0.1;  // bounds the correction of the rate in the first seconds

int window_buckets(const TrafficStatistics& traffic) {
  const double rate = traffic.quota_rate;
  const double buckets = rate > 0 ? std::round(kWindowRequests / rate / kBucketS) : 0;
  return static_cast<int>(std::clamp<double>(buckets, kMinWindowBuckets, kMaxWindowBuckets));
}

}  // namespace

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double perceived_rate = std::max(window_rate, last_second_rate);
  return perceived_rate <= 0 ? 0 : std::clamp(1 - rate_limit / perceived_rate, 0.0, 1.0);
}

TenantAdmission::TenantAdmission(const Tenant& tenant, const Settings& settings,
                                 const TrafficStatistics& traffic)
    : traffic_(traffic),
      window_s_(kBucketS * window_buckets(traffic)),
      window_(kBucketS, window_buckets(traffic), kLastSecondBuckets),
      floor_(kMinFloorRate),
      increase_fraction_(kIncreaseFraction),
      in_time_rate_(kInTimeTimeConstantS) {
  const double floor_factor = settings.tier > 0 ? kDeepFloorFactor : kFloorFactor;
  in_time_multiple_ = tenant.quota ? 0 : floor_factor;
  if (!tenant.quota) return;
  quota_share_ = *tenant.quota / settings.replica_count;
  floor_ = std::max(kMinFloorRate / settings.replica_count, quota_share_ * floor_factor);
  // Reviews of few requests are random, and would decrease the limit below the tenant's share.
  const bool is_low = window_buckets(traffic) > kMinWindowBuckets;
  limit_ = std::max(floor_, quota_share_ * (is_low ? kInitialLowTrafficLimitFactor : kInitialLimitFactor));
  increase_fraction_ *= settings.over_quota_priority_weight;
}

double TenantAdmission::suppression(const support::SlidingWindow::Sums& sums) const {
  if (sums.total - sums.declined < limit_ * window_s_) return 0;
  if (sums.total >= limit_ * window_s_ * kHardLimitFactor) return 1;
  return suppression_factor(limit_, sums.total / window_s_, sums.short_total);
}

// The cached factor is used only between the soft and the hard limit.
bool TenantAdmission::admit(double now, support::Random& random) {
  double factor = suppression(window_.sums(now));
  if (factor > 0 && factor < 1) {
    if (now >= cached_until_) {
      cached_suppression_ = factor;
      cached_until_ = now + kSuppressionCacheS;
    }
    factor = cached_suppression_;
  }
  const bool admitted = random.unit() >= factor;
  window_.add(now, !admitted);
  return admitted;
}

void TenantAdmission::record_end(double now, bool overloaded, bool in_time) {
  first_end_at_ = std::min(first_end_at_, now);
  ended_ += 1;
  if (overloaded) overloaded_ += 1;
  if (in_time) in_time_rate_.add(now);
  if (now < next_review_at_) return;
  if (ended_ < kMinReviewRequests && !traffic_.is_low(now)) return;
  review_limit(now);
}

// Requests that end within a review period were sent under the previous limit: one change a period.
void TenantAdmission::review_limit(double now) {
  const support::SlidingWindow::Sums sums = window_.sums(now);
  const double accepted_rate = (sums.total - sums.declined) / window_s_;
  if (overloaded_ > kOverloadedFraction * ended_) {
    limit_ = std::min(limit_, std::max(accepted_rate, quota_share_)) * kDecreaseFactor;
  } else if (overloaded_ <= kHealthyFraction * ended_ && accepted_rate > limit_ / 2) {
    limit_ *= 1 + increase_fraction_;
  }
  limit_ = std::max(limit_, min_limit(now));
  ended_ = 0;
  overloaded_ = 0;
  next_review_at_ = now + kReviewPeriodS;
}

// Without a quota only the rate of responses in time shows what the tier can serve: above a fixed floor, each
// review of a few requests would decrease the limit further.
double TenantAdmission::min_limit(double now) const {
  const double known_fraction = 1 - std::exp((first_end_at_ - now) / kInTimeTimeConstantS);
  return std::max(floor_,
                  in_time_multiple_ * in_time_rate_.at(now) / std::max(known_fraction, kMinKnownFraction));
}

TenantMetrics TenantAdmission::metrics(Seconds now) const {
  const support::SlidingWindow::Sums sums = window_.sums(now);
  return {limit_, suppression(sums), sums.total, sums.declined};
}

}  // namespace asterdrift::balancer
