// Waits for conditions and measures elapsed time.
#include "support/wait_until.h"

namespace asterdrift::test_support {

Seconds steady_seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

TimeoutError::TimeoutError(const std::string& awaited, std::chrono::milliseconds limit)
    : std::runtime_error("timeout after " + std::to_string(limit.count()) + " ms: " + awaited) {}

TimeoutError condition_timeout(const SourceLine& place, std::chrono::milliseconds limit) {
  return {"condition at " + std::string(place.file) + ":" + std::to_string(place.line), limit};
}

}  // namespace asterdrift::test_support
