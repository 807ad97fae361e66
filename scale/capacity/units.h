// Factors between units.
#pragma once

namespace asterdrift::scale::capacity {

constexpr double kSecondsPerDay = 86400;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMicrosecondsPerMillisecond = 1e3;
constexpr double kMillisecondsPerSecond = 1e3;
constexpr double kBytesPerKilobyte = 1e3;
constexpr double kBytesPerReportedKilobyte = 1024;  // in benchmark reports

// A rate per second times a cost in us, divided by this, is percent of a core.
constexpr double kRateCostPerPercent = 1e4;

}  // namespace asterdrift::scale::capacity
