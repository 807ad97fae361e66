// Converts Unix times to the steady clock while the system's wall clock is stepped.
#pragma once

#include <unordered_map>
#include <vector>

#include "asterdrift/seconds.h"

namespace asterdrift::node::timing {

// Unix times come from clocks that may be stepped by an hour, between any two calls. A time that was
// converted once keeps its result: otherwise the unchanged start time of a server would look like a restart.
class UnixTimeConverter {
 public:
  // Returns the time on the steady clock of `unix_ms`, a time in the past in milliseconds. If the wall clock
  // has been stepped, the latest of the possible times. 0 means long ago and stays 0. steady_now, unix_now:
  // what both clocks show now.
  Seconds to_steady(double unix_ms, Seconds steady_now, Seconds unix_now);

 private:
  Seconds convert(double unix_ms, Seconds steady_now) const;

  std::vector<Seconds> offsets_;  // steady minus Unix time; one for each step of the wall clock, newest last
  std::unordered_map<double, Seconds> converted_;
};

}  // namespace asterdrift::node::timing
