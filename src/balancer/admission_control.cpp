// Learns rate limits from the outcomes of requests, and suppresses requests above them.
#include "balancer/admission_control.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::balancer {
namespace {

constexpr Seconds kBucketWidth = 0.1;   // width of a bucket of the sliding window
constexpr int kLastSecondBuckets = 10;  // the short window is the last second
// An empty window admits as many requests at once as the limit allows in its length. A window of more than
// kMaxWindowBuckets would detect a burst only after the end of the burst.
constexpr int kMinWindowBuckets = 15;
constexpr int kMaxWindowBuckets = 80;
// A window should contain this many requests, to average over random arrivals.
constexpr double kWindowRequests = 15;
// All requests are rejected if their rate, including rejected requests, exceeds this many times the limit.
constexpr double kHardLimitFactor = 20;
constexpr Seconds kSuppressionCacheTime = 0.1;

// The initial limit, as a multiple of this replica's share of the quota.
constexpr double kInitialLimitFactor = 1.2;
// The initial limit is a higher multiple if few requests arrive, since they arrive in random bursts.
constexpr double kInitialLowTrafficLimitFactor = 4;
constexpr Seconds kReviewPeriod = 1;  // the delay until outcomes show the effect of a new limit
// A review has to be based on this many ended requests, unless the traffic is low.
constexpr double kMinReviewRequests = 5;
// The limit decreases if more than this fraction of the ended requests was overloaded.
constexpr double kOverloadedFraction = 0.1;
// The limit may increase if at most this fraction of the ended requests was overloaded.
constexpr double kHealthyFraction = 0.03;
constexpr double kDecreaseFactor = 0.75;  // one review may multiply the limit by this
// One review may increase the limit by this fraction, for traffic of full priority weight.
constexpr double kIncreaseFraction = 0.1;

// The limit is at least this many requests per second: over all replicas for a tenant with a quota, and at
// each replica without a quota.
constexpr double kMinLimitPerSecond = 2;
// The lower bound of the limit is a multiple of this replica's share of the quota, since replicas do not get
// equal shares of the traffic; without a quota, it is a multiple of the rate of responses in time. The factor
// is higher at tiers after tier 0, at which a rejection wastes the work of the tiers above.
constexpr double kMinLimitFactor = 1.2;
constexpr double kInnerTierMinLimitFactor = 6;
constexpr Seconds kInTimeRateTimeConstant = 5;
constexpr double kMinObservedFraction = 0.1;  // bounds the correction of the rate in the first seconds

int window_buckets(const TrafficStatistics& traffic) {
  const double rate = traffic.quota_rate;
  const double buckets = rate > 0 ? std::round(kWindowRequests / rate / kBucketWidth) : 0;
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
      window_length_(kBucketWidth * window_buckets(traffic)),
      window_(kBucketWidth, window_buckets(traffic), kLastSecondBuckets),
      fixed_min_limit_(kMinLimitPerSecond),
      increase_fraction_(kIncreaseFraction),
      in_time_rate_(kInTimeRateTimeConstant) {
  const double min_limit_factor = settings.tier > 0 ? kInnerTierMinLimitFactor : kMinLimitFactor;
  in_time_limit_factor_ = tenant.quota ? 0 : min_limit_factor;
  if (!tenant.quota) return;
  quota_share_ = *tenant.quota / settings.replica_count;
  fixed_min_limit_ = std::max(kMinLimitPerSecond / settings.replica_count, quota_share_ * min_limit_factor);
  // Reviews of few requests have random results, and would decrease the limit below the tenant's share.
  const bool has_little_traffic = window_buckets(traffic) > kMinWindowBuckets;
  limit_ = std::max(fixed_min_limit_, quota_share_ * (has_little_traffic ? kInitialLowTrafficLimitFactor
                                                                         : kInitialLimitFactor));
  increase_fraction_ *= settings.over_quota_priority_weight;
}

double TenantAdmission::suppression(const support::SlidingWindow::Counts& counts) const {
  if (counts.total - counts.rejected < limit_ * window_length_) return 0;
  if (counts.total >= limit_ * window_length_ * kHardLimitFactor) return 1;
  return suppression_factor(limit_, counts.total / window_length_, counts.short_total);
}

// Between the soft limit, which is the learned rate limit, and the hard limit, the suppression factor is
// cached for kSuppressionCacheTime.
bool TenantAdmission::admit(Seconds now, support::Random& random) {
  double factor = suppression(window_.counts(now));
  if (factor > 0 && factor < 1) {
    if (now >= suppression_cached_until_) {
      cached_suppression_ = factor;
      suppression_cached_until_ = now + kSuppressionCacheTime;
    }
    factor = cached_suppression_;
  }
  const bool admitted = random.unit() >= factor;
  window_.add(now, !admitted);
  return admitted;
}

void TenantAdmission::record_outcome(Seconds now, bool overloaded, bool in_time) {
  first_outcome_at_ = std::min(first_outcome_at_, now);
  ended_requests_ += 1;
  if (overloaded) overloaded_requests_ += 1;
  if (in_time) in_time_rate_.add(now);
  if (now < next_review_at_) return;
  if (ended_requests_ < kMinReviewRequests && !traffic_.is_low(now)) return;
  review_limit(now);
}

// The limit changes at most once in a review period, since requests that end within the period were admitted
// under the previous limit.
void TenantAdmission::review_limit(Seconds now) {
  const support::SlidingWindow::Counts counts = window_.counts(now);
  const double accepted_rate = (counts.total - counts.rejected) / window_length_;
  if (overloaded_requests_ > kOverloadedFraction * ended_requests_) {
    limit_ = std::min(limit_, std::max(accepted_rate, quota_share_)) * kDecreaseFactor;
  } else if (overloaded_requests_ <= kHealthyFraction * ended_requests_ && accepted_rate > limit_ / 2) {
    limit_ *= 1 + increase_fraction_;
  }
  limit_ = std::max(limit_, min_limit(now));
  ended_requests_ = 0;
  overloaded_requests_ = 0;
  next_review_at_ = now + kReviewPeriod;
}

// Without a quota, only the rate of responses in time shows what the tier can serve. A lower bound that does
// not follow this rate would let each review of a few requests decrease the limit further.
double TenantAdmission::min_limit(Seconds now) const {
  // The fraction of its final value that in_time_rate_ has reached now, assuming a constant rate of responses
  // since the first outcome.
  const double observed_fraction = 1 - std::exp((first_outcome_at_ - now) / kInTimeRateTimeConstant);
  return std::max(fixed_min_limit_, in_time_limit_factor_ * in_time_rate_.at(now) /
                                        std::max(observed_fraction, kMinObservedFraction));
}

TenantMetrics TenantAdmission::metrics(Seconds now) const {
  const support::SlidingWindow::Counts counts = window_.counts(now);
  return {limit_, suppression(counts), counts.total, counts.rejected};
}

}  // namespace asterdrift::balancer
