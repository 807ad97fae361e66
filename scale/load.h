// Callers of a node: an open loop, whose times count from when a call was to be sent.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace asterdrift::scale {

struct LoadResult {
  std::vector<double> times;  // s, of the calls that were answered with 200
  std::size_t refused = 0;    // 429 or 503
  std::size_t failed = 0;     // any other answer, a broken connection, or none in time
  std::size_t connections = 0;
};

// Sends `calls` calls to a port at a Poisson rate and waits for their answers, `patience_s` after the last at
// most. The same seed gives the same moments.
LoadResult call_at_rate(int port, double calls_per_s, std::size_t calls, unsigned seed, double patience_s);

}  // namespace asterdrift::scale
