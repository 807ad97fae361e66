// The buckets of a sliding window, in a ring buffer.
#include "support/sliding_window.h"

#include <cmath>
#include <iterator>

namespace asterdrift::support {

void SlidingWindow::add(Seconds now, bool rejected) {
  const std::int64_t number = bucket_number(now);
  const std::int64_t count = std::ssize(buckets_);
  Bucket& bucket = buckets_[static_cast<std::size_t>(((number % count) + count) % count)];
  if (bucket.number != number) bucket = {number, 0, 0};
  bucket.total += 1;
  if (rejected) bucket.rejected += 1;
}

SlidingWindow::Counts SlidingWindow::counts(Seconds now) const {
  const std::int64_t number = bucket_number(now);
  Counts counts;
  for (const Bucket& bucket : buckets_) {
    if (bucket.number <= number - std::ssize(buckets_)) continue;
    counts.total += bucket.total;
    counts.rejected += bucket.rejected;
    if (bucket.number > number - short_window_buckets_) counts.short_total += bucket.total;
  }
  return counts;
}

std::int64_t SlidingWindow::bucket_number(Seconds time) const {
  return static_cast<std::int64_t>(std::floor(time / bucket_width_));
}

}  // namespace asterdrift::support
