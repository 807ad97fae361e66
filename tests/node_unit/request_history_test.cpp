// The set of requests that may have run: within one process, and between two.
#include "node/dispatch/request_history.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace asterdrift::node::dispatch {
namespace {

constexpr Seconds kNow = 100000;

class RequestHistoryFile : public ::testing::Test {
 protected:
  RequestHistoryFile() {
    std::string pattern = std::filesystem::temp_directory_path() / "history-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
  }
  ~RequestHistoryFile() override { std::filesystem::remove_all(folder_); }
  std::string path() const { return folder_ + "/requests"; }

 private:
  std::string folder_;
};

TEST(RequestHistory, ContainsInsertedIdsUntilTheyAreErased) {
  RequestHistory history("");
  EXPECT_FALSE(history.is_shared());
  history.insert("a", kNow);
  history.insert("b", kNow);
  history.erase("a");
  EXPECT_FALSE(history.contains("a", kNow));
  EXPECT_TRUE(history.contains("b", kNow));
  EXPECT_FALSE(history.contains("c", kNow));
}

TEST(RequestHistory, ForgetsIdsAfterTheRetentionTime) {
  RequestHistory history("");
  history.insert("a", kNow);
  EXPECT_TRUE(history.contains("a", kNow + RequestHistory::kRetention));
  EXPECT_FALSE(history.contains("a", kNow + RequestHistory::kRetention + 2));
}

// Guards against memory that grows with ever new ids, and against old ids that push out new ones.
TEST(RequestHistory, KeepsTheNewestIdsIfThereAreTooMany) {
  constexpr int kIds = 200000, kNewestIds = 1000;
  RequestHistory history("");
  for (int i = 0; i < kIds; ++i) history.insert(std::to_string(i), kNow + i * 0.01);
  for (int i = kIds - kNewestIds; i < kIds; ++i) {
    EXPECT_TRUE(history.contains(std::to_string(i), kNow + kIds * 0.01)) << i;
  }
}

TEST_F(RequestHistoryFile, IsSharedWithOtherProcesses) {
  RequestHistory first(path()), second(path());
  EXPECT_TRUE(first.is_shared() && second.is_shared());
  first.insert("a", kNow);
  EXPECT_TRUE(second.contains("a", kNow));
  second.erase("a");
  EXPECT_FALSE(first.contains("a", kNow));
}

// A process that was killed may leave anything behind.
TEST_F(RequestHistoryFile, IsUsableAfterATornFile) {
  std::ofstream(path()) << std::string(1001, 'x');
  RequestHistory history(path());
  history.insert("a", kNow);
  EXPECT_TRUE(history.contains("a", kNow));
  EXPECT_FALSE(history.contains("b", kNow));
}

TEST_F(RequestHistoryFile, WorksWithoutTheFile) {
  RequestHistory history(path() + "/no/such/folder");
  EXPECT_FALSE(history.is_shared());
  history.insert("a", kNow);
  EXPECT_TRUE(history.contains("a", kNow));
}

}  // namespace
}  // namespace asterdrift::node::dispatch
