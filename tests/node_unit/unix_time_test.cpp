// Start times of servers while the wall clock is stepped by an hour.
#include "node/timing/unix_time.h"

#include <gtest/gtest.h>

namespace asterdrift::node::timing {
namespace {

constexpr Seconds kHour = 3600;
constexpr Seconds kUnixStart = 1.8e9;  // what the wall clock shows as the steady clock shows 0

double to_ms(Seconds time) { return time * 1000; }

// Guards against a starting server that counts as warm, or as starting for an hour, after a step.
TEST(UnixTime, ServerThatStartsAfterAStepHasJustStarted) {
  for (const Seconds step : {-kHour, kHour}) {
    UnixTimeConverter converter;
    EXPECT_DOUBLE_EQ(converter.to_steady(to_ms(kUnixStart + 5000), 5010, kUnixStart + 5010), 5000);
    const Seconds after_step = kUnixStart + step;
    EXPECT_DOUBLE_EQ(converter.to_steady(to_ms(after_step + 5020), 5022, after_step + 5022), 5020) << step;
  }
}

// Guards against servers that seem to restart when the clock is stepped.
TEST(UnixTime, KnownStartTimeKeepsItsResult) {
  for (const Seconds step : {-kHour, kHour}) {
    UnixTimeConverter converter;
    const double start_ms = to_ms(kUnixStart + 5000);
    const Seconds before = converter.to_steady(start_ms, 5010, kUnixStart + 5010);
    EXPECT_EQ(converter.to_steady(start_ms, 5020, kUnixStart + step + 5020), before) << step;
  }
}

TEST(UnixTime, ServerThatStartedJustBeforeAStepIsStarting) {
  for (const Seconds step : {-kHour, kHour}) {
    UnixTimeConverter converter;
    converter.to_steady(to_ms(kUnixStart + 100), 5010, kUnixStart + 5010);
    EXPECT_DOUBLE_EQ(converter.to_steady(to_ms(kUnixStart + 5019), 5020, kUnixStart + step + 5020), 5019)
        << step;
  }
}

TEST(UnixTime, LongAgoStaysLongAgo) {
  UnixTimeConverter converter;
  EXPECT_EQ(converter.to_steady(0, 5010, kUnixStart + 5010), 0);
}

}  // namespace
}  // namespace asterdrift::node::timing
