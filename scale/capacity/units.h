// Conversion factors between units.
#pragma once

namespace asterdrift::scale::capacity {

constexpr double kSecondsPerDay = 86400;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMicrosecondsPerMillisecond = 1e3;
constexpr double kMillisecondsPerSecond = 1e3;
constexpr double kBytesPerKilobyte = 1e3;
constexpr double kBytesPerReportedKilobyte = 1024;  // benchmark reports use KB of 1024 bytes

// Processor time in microseconds per second that is one percent of a core.
constexpr double kMicrosecondsPerSecondPerCorePercent = 1e4;

}  // namespace asterdrift::scale::capacity
