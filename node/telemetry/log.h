// The node's log.
#pragma once

#include <string>

namespace asterdrift::node::telemetry {

// Writes one line to standard error, behind the steady clock's time in seconds.
void log_line(const std::string& text);

}  // namespace asterdrift::node::telemetry
