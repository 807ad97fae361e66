// The operators' rules for a node, checked against the observations of a soak run.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "asterdrift/seconds.h"
#include "soak/observations.h"
#include "soak/script.h"

namespace asterdrift::soak {

struct Violation {
  std::string rule;
  std::string request_id;  // empty: the rule concerns a process or a connection
  std::string details;
};

std::vector<Violation> check_rules(const Script& script, const Observations& observations);

// The events of a request in the order of time, one line for each event. The times are relative to
// started_at.
std::string request_history(const std::string& request_id, const Observations& observations,
                            Seconds started_at);

// The number of requests that arrived on a keep-alive connection while the node was closing the connection.
// The protocol allows a node to close a connection between two requests.
std::size_t count_requests_not_read_at_close(const Observations& observations);

}  // namespace asterdrift::soak
