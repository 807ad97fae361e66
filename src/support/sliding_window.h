// Counts of recent events.
#pragma once

#include <cstdint>
#include <limits>
#include <vector>

namespace asterdrift::support {

// The events of a window of time, counted in buckets, and those of its most recent part, the short window.
class SlidingWindow {
 public:
  struct Sums {
    double total = 0;        // events in the window
    double declined = 0;     // declined events in the window
    double short_total = 0;  // events in the short window
  };

  // bucket_s: width of a bucket in seconds. buckets, short_buckets: number of buckets of the two windows.
  SlidingWindow(double bucket_s, int buckets, int short_buckets)
      : bucket_s_(bucket_s), short_buckets_(short_buckets), buckets_(static_cast<std::size_t>(buckets)) {}

  // An event has happened.
  void add(double now, bool declined);
  // The counts of the windows that end now.
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
