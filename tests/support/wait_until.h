// Waits for conditions and measures elapsed time. The time limits only end tests that would hang.
#pragma once

#include <chrono>
#include <stdexcept>
#include <string>

#include "asterdrift/seconds.h"

namespace asterdrift::test_support {

// The longest time that a single wait of a test may take.
constexpr std::chrono::milliseconds kWaitLimit{15000};

// Returns the time of the steady clock, which is the same in all processes.
Seconds steady_seconds();

// Measures the time since its construction.
class Stopwatch {
 public:
  Stopwatch() : started_at_(steady_seconds()) {}
  Seconds seconds() const { return steady_seconds() - started_at_; }

 private:
  Seconds started_at_;
};

// Thrown if an event does not happen within its time limit. The text names the event.
class TimeoutError : public std::runtime_error {
 public:
  TimeoutError(const std::string& awaited, std::chrono::milliseconds limit);
};

// A line of a source file. Used as a default argument, current() gives the line of the function's caller.
struct SourceLine {
  const char* file = "";
  int line = 0;

  static constexpr SourceLine current(const char* file = __builtin_FILE(), int line = __builtin_LINE()) {
    return {file, line};
  }
};

// Returns the TimeoutError of a condition that was awaited at `place`.
TimeoutError condition_timeout(const SourceLine& place, std::chrono::milliseconds limit);

// Evaluates `condition` repeatedly until it is true. Throws TimeoutError after kWaitLimit.
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
