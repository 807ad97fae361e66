// Buckets of a sliding window, in a ring.
#include "support/sliding_window.h"

#include <cmath>
#include <iterator>

namespace asterdrift::support {

void SlidingWindow::add(double now, bool declined) {
  const std::int64_t number = number_at(now);
  const std::int64_t count = std::ssize(buckets_);
  Bucket& bucket = buckets_[static_cast<std::size_t>(((number % count) + count) % count)];
  if (bucket.number != number) bucket = {number, 0, 0};
  bucket.total += 1;
  if (declined) bucket.declined += 1;
}

SlidingWindow::Sums SlidingWindow::sums(double now) const {
  const std::int64_t number = number_at(now);
  Sums sums;
  for (const Bucket& bucket : buckets_) {
    if (bucket.number <= number - std::ssize(buckets_)) continue;
    sums.total += bucket.total;
    sums.declined += bucket.declined;
    if (bucket.number > number - short_buckets_) sums.short_total += bucket.total;
  }
  return sums;
}

std::int64_t SlidingWindow::number_at(double now) const {
  return static_cast<std::int64_t>(std::floor(now / bucket_s_));
}

}  // namespace asterdrift::support
