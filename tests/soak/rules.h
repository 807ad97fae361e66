// The operators' rules, checked against what a soak run has observed.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "soak/observations.h"
#include "soak/script.h"

namespace asterdrift::soak {

struct Violation {
  std::string rule;
  std::string request_id;  // empty: of a process or a connection
  std::string details;
};

std::vector<Violation> check_rules(const Script& script, const Observations& observations);

// What happened to a request, a line an event, in the order of time; times are relative to the start.
std::string history_of(const std::string& request_id, const Observations& observations, double started_at);

// How many requests crossed the end of a connection between two requests, which the protocol allows.
std::size_t count_crossings(const Observations& observations);

}  // namespace asterdrift::soak
