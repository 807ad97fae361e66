// Counts of the last few seconds in buckets.
#pragma once

#include <cstdint>
#include <limits>
#include <vector>

namespace asterdrift::support {

// Total and declined events of a window, and the total of its most recent part, the short window.
class SlidingWindow {
 public:
  struct Sums {
    double total = 0;
    double declined = 0;
    double short_total = 0;
  };

  // bucket_s: width of a bucket. buckets, short_buckets: lengths of the window and of the short window.
  SlidingWindow(double bucket_s, int buckets, int short_buckets)
      : bucket_s_(bucket_s), short_buckets_(short_buckets), buckets_(static_cast<std::size_t>(buckets)) {}

  void add(double now, bool declined);
  Sums sums(double now) const;

 private:
  struct Bucket {
    std::int64_t number = std::numeric_limits<std::int64_t>::min() / 2;
    double total = 0;
    double declined = 0;
  };

  std::int64_t number_at(double now) const;

  double bucket_s_;
  int short_buckets_;
  std::vector<Bucket> buckets_;
};

}  // namespace asterdrift::support
