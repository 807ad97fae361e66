// What a copy knows of each tenant: its calls of the last few seconds and the limit learned from how they
// end.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include "support.h"

namespace asterdrift::balancer {

constexpr double kBucket = 0.1;         // s; grain of the sliding window, a tenth of the short rate's second
constexpr int kLastSecondBuckets = 10;  // 1000 ms, the short rate of the source
constexpr double kFloorRate = 2;        // calls/s over all copies; least floor of a limit
constexpr double kFloorShare = 1.2;     // x allowance; headroom as copies do not get even parts of a tenant
constexpr double kDeepFloorShare = 6;   // x allowance past tier 0: a refusal there wastes the work above it
constexpr double kInTimeMemory = 5;     // s; smoothing of the rate at which calls are answered in time
constexpr double kForever = std::numeric_limits<double>::infinity();

struct TenantState {
  explicit TenantState(int buckets) : window(kBucket, buckets, kLastSecondBuckets) {}
  SlidingWindow window;
  double part = 0, limit = kForever, floor = kFloorRate, worth = 1;  // worth: of what exceeds its part
  double factor = 0, factor_until = -kForever;
  double ended = 0, bad = 0, next_review = -kForever;
  support::DecayingRate in_time{kInTimeMemory};  // calls answered within their aim
  double share_of_these = 0;                     // in the floor, where no allowance is told
  double since = kForever;

  void count(double now, bool was_bad, bool was_in_time) {
    since = std::min(since, now);
    ended += 1;
    if (was_bad) bad += 1;
    if (was_in_time) in_time.add(now);
  }
  // The limit's floor. Danger: where no allowance is told, only what is answered in time tells what the tier
  // bears. Some calls are slow on any day; with nothing but a fixed floor each review of a few calls cut the
  // limit further, and a calm day ended with half of it denied.
  double least(double now) const {
    const double known = 1 - std::exp((since - now) / kInTimeMemory);  // what the first seconds lack
    return std::max(floor, share_of_these * in_time.at(now) / std::max(known, 0.1));
  }
};

}  // namespace asterdrift::balancer
