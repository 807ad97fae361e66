#include "balancer/admission_control.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::balancer {
namespace {

constexpr double kBucket = 0.1;           // s; grain of the sliding window
constexpr int kLastSecondBuckets = 10;    // 1000 ms, the short rate of the source
constexpr int kLeastBuckets = 15;         // 1.5 s: an empty window lets this much of the limit in at once
constexpr int kMostBuckets = 80;          // 8 s: a longer window would notice a tenant's burst after its end
constexpr double kWindowRequests = 15;    // that a window holds where it can: fewer come by chance
constexpr double kHardLimitFactor = 20;   // denied requests count too: only floods are denied entirely
constexpr double kFactorCacheTime = 0.1;  // s; as in the source

constexpr double kStartFactor = 1.2;     // x quota; start of a limit, the first step above it being learned
constexpr double kLowTrafficStart = 4;   // x quota; chance gives a replica with few requests several times it
constexpr double kReviewPeriod = 1;      // s; least time between changes of a limit, a feedback delay
constexpr double kReviewRequests = 5;    // fewer say nothing about a tenant
constexpr double kOverloadedPart = 0.1;  // of ended requests; above it a limit drops
constexpr double kHealthyPart = 0.03;    // of ended requests; below it a limit may rise
constexpr double kDropFactor = 0.75;     // x; one drop of a limit
constexpr double kRisePart = 0.1;        // of the limit; one rise, for traffic of full weight

constexpr double kFloorRate = 2;        // requests/s over all replicas; least floor of a limit
constexpr double kFloorFactor = 1.2;    // x quota; replicas do not get even parts of a tenant
constexpr double kDeepFloorFactor = 6;  // x quota past tier 0: a rejection there wastes the work above it
constexpr double kInTimeMemory = 5;     // s; smoothing of the rate at which requests are answered in time
constexpr double kLeastKnownPart = 0.1;

int window_buckets(const TrafficStatistics& traffic) {
  const double rate = traffic.quota_rate;
  const double buckets = rate > 0 ? std::round(kWindowRequests / rate / kBucket) : 0;
  return static_cast<int>(std::clamp<double>(buckets, kLeastBuckets, kMostBuckets));
}

}  // namespace

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double perceived = std::max(window_rate, last_second_rate);
  return perceived <= 0 ? 0 : std::clamp(1 - rate_limit / perceived, 0.0, 1.0);
}

TenantAdmission::TenantAdmission(const Tenant& tenant, const Settings& settings,
                                 const TrafficStatistics& traffic)
    : traffic_(traffic),
      window_s_(kBucket * window_buckets(traffic)),
      window_(kBucket, window_buckets(traffic), kLastSecondBuckets),
      floor_(kFloorRate),
      rise_part_(kRisePart),
      in_time_(kInTimeMemory) {
  const double floor_factor = settings.tier > 0 ? kDeepFloorFactor : kFloorFactor;
  floor_multiple_ = tenant.quota ? 0 : floor_factor;
  if (!tenant.quota) return;
  quota_part_ = *tenant.quota / settings.replica_count;
  floor_ = std::max(kFloorRate / settings.replica_count, quota_part_ * floor_factor);
  // With few requests reviews are a matter of chance, which would cut the limit below the tenant's part.
  const bool is_low = window_buckets(traffic) > kLeastBuckets;
  limit_ = std::max(floor_, quota_part_ * (is_low ? kLowTrafficStart : kStartFactor));
  rise_part_ *= settings.over_quota_priority_weight;
}

double TenantAdmission::suppression(const support::SlidingWindow::Sums& sums) const {
  if (sums.total - sums.declined < limit_ * window_s_) return 0;
  if (sums.total >= limit_ * window_s_ * kHardLimitFactor) return 1;
  return suppression_factor(limit_, sums.total / window_s_, sums.short_total);
}

// The three regimes of the source. The cached factor serves only between the two limits.
bool TenantAdmission::admit(double now, support::Random& random) {
  double factor = suppression(window_.sums(now));
  if (factor > 0 && factor < 1) {
    if (now >= cached_until_) {
      cached_factor_ = factor;
      cached_until_ = now + kFactorCacheTime;
    }
    factor = cached_factor_;
  }
  const bool admitted = random.unit() >= factor;
  window_.add(now, !admitted);
  return admitted;
}

// A limit drops once per review at most: what ends within a feedback delay was sent under the old one.
void TenantAdmission::record_end(double now, bool overloaded, bool in_time) {
  first_end_at_ = std::min(first_end_at_, now);
  ended_ += 1;
  if (overloaded) overloaded_ += 1;
  if (in_time) in_time_.add(now);
  if (now < next_review_ || (ended_ < kReviewRequests && !traffic_.is_low(now))) return;
  const support::SlidingWindow::Sums sums = window_.sums(now);
  const double accepted = (sums.total - sums.declined) / window_s_;
  if (overloaded_ > kOverloadedPart * ended_) {
    limit_ = std::min(limit_, std::max(accepted, quota_part_)) * kDropFactor;
  } else if (overloaded_ <= kHealthyPart * ended_ && accepted > limit_ / 2) {
    limit_ *= 1 + rise_part_;
  }
  limit_ = std::max(limit_, least_limit(now));
  ended_ = overloaded_ = 0;
  next_review_ = now + kReviewPeriod;
}

// Without a quota, only what is answered in time tells what the tier can serve: over a fixed floor each
// review of a few requests would cut the limit further.
double TenantAdmission::least_limit(double now) const {
  const double known = 1 - std::exp((first_end_at_ - now) / kInTimeMemory);  // what the first seconds lack
  return std::max(floor_, floor_multiple_ * in_time_.at(now) / std::max(known, kLeastKnownPart));
}

TenantView TenantAdmission::view(double now) const {
  const support::SlidingWindow::Sums sums = window_.sums(now);
  return {limit_, suppression(sums), sums.total, sums.declined};
}

}  // namespace asterdrift::balancer
