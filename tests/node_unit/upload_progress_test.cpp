// When a client can have sent the last byte of an upload at the earliest.
#include "node/downstream/upload_progress.h"

#include <gtest/gtest.h>

namespace asterdrift::node::downstream {
namespace {

constexpr std::uint64_t kMebibyte = 1024UL * 1024;

TEST(UploadProgress, CountsFromWhenTheRestFitsIntoTheBufferOfTheClient) {
  UploadProgress progress;
  EXPECT_EQ(progress.sent_after(kMebibyte), std::nullopt);
  progress.sample(10, 1 * kMebibyte);
  progress.sample(11, 2 * kMebibyte);
  progress.sample(12, 4 * kMebibyte);
  EXPECT_EQ(progress.sent_after(5 * kMebibyte), 10);
  EXPECT_EQ(progress.sent_after(6 * kMebibyte), 11);
  EXPECT_EQ(progress.sent_after(8 * kMebibyte), 12);
  EXPECT_EQ(progress.sent_after(8 * kMebibyte + 1), std::nullopt);
}

TEST(UploadProgress, ForgetsEarlierTimesWhenAllBytesHaveBeenRead) {
  UploadProgress progress;
  progress.sample(10, kMebibyte);
  progress.reset();
  EXPECT_EQ(progress.sent_after(kMebibyte), std::nullopt);
  progress.sample(20, kMebibyte);
  EXPECT_EQ(progress.sent_after(kMebibyte), 20);
}

TEST(UploadProgress, NeverCountsFromEarlierThanItMust) {
  UploadProgress progress;
  for (std::uint64_t i = 0; i < 1000; ++i) progress.sample(static_cast<Seconds>(i), i * kMebibyte);
  for (std::uint64_t i = 5; i < 1000; ++i) {
    EXPECT_GE(progress.sent_after(i * kMebibyte).value(), static_cast<Seconds>(i - 4)) << i;
  }
  EXPECT_EQ(progress.sent_after(1003 * kMebibyte), 999);
}

}  // namespace
}  // namespace asterdrift::node::downstream
