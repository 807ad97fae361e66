// How long a peer may take no byte before it counts as having stopped reading.
#include "node/net/send_progress.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <optional>

namespace asterdrift::node {
namespace {

using net::SendProgress;
using net::SendState;

constexpr Seconds kMinTimeout = 5;
constexpr double kSlowBytesPerSecond = 64e3;
constexpr std::size_t kMegabyte = 1000UL * 1000;

TEST(SendProgress, PeerWithoutLargeWindowStallsAfterMinTimeout) {
  for (const std::size_t window : {std::size_t{0}, std::size_t{64000}, std::size_t{108544}}) {
    SendProgress progress;
    progress.begin(100);
    progress.observe(SendState{.acknowledged_bytes = 0, .window_bytes = window}, 100);
    EXPECT_EQ(progress.stalled_at(kMinTimeout), 105) << window;
  }
  SendProgress unknown;
  unknown.begin(100);
  unknown.observe(std::nullopt, 103);
  EXPECT_EQ(unknown.stalled_at(kMinTimeout), 105) << "where the system does not tell";
}

// Guards against peers that read 64 kB/s and count as having stopped, since their window opens only when a
// sixteenth of their receive buffer is free.
TEST(SendProgress, ReadingPeerMayTakeNothingUntilItsWindowOpens) {
  for (const std::size_t window : {kMegabyte / 2, kMegabyte, 4 * kMegabyte, 16 * kMegabyte, 32 * kMegabyte}) {
    SendProgress progress;
    progress.begin(100);
    progress.observe(SendState{.acknowledged_bytes = 1, .window_bytes = window}, 100);
    progress.observe(SendState{.acknowledged_bytes = window, .window_bytes = 0}, 101);
    const Seconds silence = static_cast<double>(window) / 16 / kSlowBytesPerSecond;
    EXPECT_GT(progress.stalled_at(kMinTimeout), 101 + silence + 2) << window;
  }
}

TEST(SendProgress, SilenceIsBoundedForAnyWindow) {
  SendProgress progress;
  progress.begin(100);
  progress.observe(SendState{.acknowledged_bytes = 0, .window_bytes = 1000 * kMegabyte}, 100);
  EXPECT_LE(progress.stalled_at(kMinTimeout), 160);
}

TEST(SendProgress, WrittenAndAcknowledgedBytesAreProgress) {
  SendProgress progress;
  progress.begin(100);
  progress.on_bytes_written(1000, 101);
  EXPECT_EQ(progress.progress_at(), 101);
  progress.on_bytes_written(0, 102);
  EXPECT_EQ(progress.progress_at(), 101);
  progress.observe(SendState{.acknowledged_bytes = 10, .window_bytes = 0}, 103);
  EXPECT_EQ(progress.progress_at(), 103);
  progress.observe(SendState{.acknowledged_bytes = 10, .window_bytes = 0}, 104);
  EXPECT_EQ(progress.progress_at(), 103) << "a probe of a closed window is answered, and takes no byte";
}

TEST(SendProgress, ObservationsAreDueBeforeManyBytesAreWritten) {
  SendProgress progress;
  EXPECT_FALSE(progress.is_observation_due());
  progress.on_bytes_written(128UL * 1024, 100);
  EXPECT_TRUE(progress.is_observation_due());
  progress.observe(std::nullopt, 100);
  EXPECT_FALSE(progress.is_observation_due());
}

}  // namespace
}  // namespace asterdrift::node
