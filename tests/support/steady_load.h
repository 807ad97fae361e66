// Requests at a steady rate.
#pragma once

#include <string>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {

// One tenant with this quota, in requests/s.
Settings settings_with_quota(double quota);

// Sends `rate` requests/s for `seconds` from `start` on; each ends at once with `outcome`, a retry with
// success. The ids begin with `prefix`. Returns how many were admitted.
int send_steady_load(TestReplica& replica, double start, double seconds, double rate,
                     const std::string& prefix, Outcome outcome = Outcome::kSuccess);

}  // namespace asterdrift::balancer
