// Waiting for conditions and measuring elapsed time. All limits only end a test that would hang.
#pragma once

#include <chrono>
#include <stdexcept>
#include <string>

namespace asterdrift::test_support {

// How long any wait of a test may take.
constexpr std::chrono::milliseconds kWaitLimit{15000};

// Seconds on the steady clock, which is the same in all processes.
double steady_seconds();

// Measures from its construction.
class Stopwatch {
 public:
  Stopwatch() : started_at_(steady_seconds()) {}
  double seconds() const { return steady_seconds() - started_at_; }

 private:
  double started_at_;
};

// Something did not happen within its limit. Names what was awaited.
class TimeoutError : public std::runtime_error {
 public:
  TimeoutError(const std::string& awaited, std::chrono::milliseconds limit);
};

// A line of a source file: where the caller of a function with this default argument stands.
struct SourceLine {
  const char* file = "";
  int line = 0;

  static constexpr SourceLine current(const char* file = __builtin_FILE(), int line = __builtin_LINE()) {
    return {file, line};
  }
};

// The TimeoutError of a condition that was awaited at `place`.
TimeoutError condition_timeout(const SourceLine& place, std::chrono::milliseconds limit);

// Evaluates `condition` again and again until it holds. Throws TimeoutError past `kWaitLimit`.
template <class Condition>
void wait_until(Condition condition, const SourceLine& place = SourceLine::current()) {
  const Stopwatch stopwatch;
  while (!condition()) {
    if (stopwatch.seconds() > std::chrono::duration<double>(kWaitLimit).count()) {
      throw condition_timeout(place, kWaitLimit);
    }
  }
}

}  // namespace asterdrift::test_support
