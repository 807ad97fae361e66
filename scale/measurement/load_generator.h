// Clients of a node: an open loop, whose latencies count from when a request was due.
#pragma once

#include <cstddef>
#include <vector>

namespace asterdrift::scale {

// What send_load() returns.
struct LoadResult {
  std::vector<double> latencies;  // s, of the requests with status 200
  std::size_t failed = 0;  // with another status, on a broken connection, or without a response in time
  std::size_t connections = 0;
};

// The requests that send_load() sends.
struct Load {
  int port = 0;                    // where the requests go
  double requests_per_second = 0;  // the mean of a Poisson process
  std::size_t requests = 0;
  unsigned seed = 1;              // the same seed gives the same moments
  double response_timeout_s = 0;  // after the last request
};

// Sends the requests and waits for their responses.
LoadResult send_load(const Load& load);

}  // namespace asterdrift::scale
