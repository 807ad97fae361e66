// Writes log lines to standard error.
#include "node/telemetry/log.h"

#include <cstdio>

#include "node/timing/clock.h"

namespace asterdrift::node::telemetry {

void log_line(const std::string& text) { std::fprintf(stderr, "%.3f %s\n", timing::now(), text.c_str()); }

}  // namespace asterdrift::node::telemetry
