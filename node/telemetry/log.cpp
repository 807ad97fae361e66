#include "node/telemetry/log.h"

#include <cstdio>

#include "node/base/clock.h"

namespace asterdrift::node::telemetry {

void log_line(const std::string& text) { std::fprintf(stderr, "%.3f %s\n", base::now(), text.c_str()); }

}  // namespace asterdrift::node::telemetry
