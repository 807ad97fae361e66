// An open-loop load generator for HTTP: requests are sent at random times that do not depend on the
// responses, and a latency counts from the time at which its request was due.
#pragma once

#include <cstddef>
#include <vector>

#include "asterdrift/seconds.h"

namespace asterdrift::scale {

// The responses to the requests of send_load().
struct LoadResult {
  std::vector<Seconds> latencies;  // latencies of the requests with status 200
  // The requests with another status, on a broken connection, or without a response in time.
  std::size_t failed = 0;
  std::size_t connections = 0;  // opened for the requests
};

// The requests that send_load() sends.
struct Load {
  int port = 0;                    // port on loopback to which the requests go
  double requests_per_second = 0;  // the mean of a Poisson process
  std::size_t requests = 0;
  unsigned seed = 1;             // determines the times of the requests
  Seconds response_timeout = 0;  // how long to wait for responses after the last request
};

// Sends the requests and waits for their responses.
LoadResult send_load(const Load& load);

}  // namespace asterdrift::scale
