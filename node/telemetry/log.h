// The node's log, which goes to standard error.
#pragma once

#include <string>

namespace asterdrift::node::telemetry {

// Writes one line: the steady clock's time in seconds, and the text.
void log_line(const std::string& text);

}  // namespace asterdrift::node::telemetry
