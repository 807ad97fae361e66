// Soak test: runs the node with clients, endpoints, discovery and signals that follow a random script, one
// run for each seed. The environment variable SOAK_SEED=N selects a single run with any seed.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <vector>

#include "soak/soak_run.h"

namespace asterdrift::soak {
namespace {

constexpr std::uint64_t kCiSeeds = 12;

std::vector<std::uint64_t> seeds() {
  if (const char* seed = std::getenv("SOAK_SEED")) return {std::strtoull(seed, nullptr, 10)};
  std::vector<std::uint64_t> all;
  for (std::uint64_t seed = 1; seed <= kCiSeeds; ++seed) all.push_back(seed);
  return all;
}

class Soak : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Soak, NodeFollowsOperatorsRules) {
  SoakRun soak_run(GetParam());
  const std::vector<Violation> violations = soak_run.run();
  std::cout << soak_run.summary() << "\n";
  EXPECT_TRUE(violations.empty()) << "SOAK_SEED=" << GetParam() << " build-test/tests/soak_tests\n"
                                  << soak_run.report(violations);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::ValuesIn(seeds()), ::testing::PrintToStringParamName());

}  // namespace
}  // namespace asterdrift::soak
