// Counts of the events of a recent period.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "asterdrift/seconds.h"

namespace asterdrift::support {

// Counts the events of a sliding window in buckets, and the events of its most recent part, the short window.
class SlidingWindow {
 public:
  struct Counts {
    double total = 0;        // events in the window
    double rejected = 0;     // rejected events in the window
    double short_total = 0;  // events in the short window
  };

  // `buckets` and `short_window_buckets` are the numbers of buckets of the window and of the short window.
  SlidingWindow(Seconds bucket_width, int buckets, int short_window_buckets)
      : bucket_width_(bucket_width),
        short_window_buckets_(short_window_buckets),
        buckets_(static_cast<std::size_t>(buckets)) {}

  // Counts an event.
  void add(Seconds now, bool rejected);
  // The counts of the windows that end now.
  Counts counts(Seconds now) const;

 private:
  struct Bucket {
    std::int64_t number = std::numeric_limits<std::int64_t>::min() / 2;
    double total = 0;
    double rejected = 0;
  };

  // The number of the bucket that contains a time. Numbers increase with time and are never reused.
  std::int64_t bucket_number(Seconds time) const;

  Seconds bucket_width_;
  int short_window_buckets_;
  std::vector<Bucket> buckets_;
};

}  // namespace asterdrift::support
