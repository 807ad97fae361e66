// Load at a steady rate.
#pragma once

#include <string>

#include "asterdrift/seconds.h"
#include "support/balancer_fixture.h"

namespace asterdrift::balancer {

// basic_settings() with one tenant, whose quota is in requests/s.
Settings settings_with_quota(double quota);

// Sends `rate` requests/s for `duration` from `start` on. The first attempt of each request ends at once with
// `outcome`, and a retry ends with success. Request ids begin with `id_prefix`. Returns the number of
// admitted requests.
int send_steady_load(TestReplica& replica, Seconds start, Seconds duration, double rate,
                     const std::string& id_prefix, Outcome outcome = Outcome::kSuccess);

}  // namespace asterdrift::balancer
