// The node among scripted peers and signals, a run for each seed. SOAK_SEED=N runs one seed, of any number.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <vector>

#include "soak/soak_run.h"

namespace asterdrift::soak {
namespace {

constexpr std::uint64_t kSeedsInCi = 12;

std::vector<std::uint64_t> seeds() {
  if (const char* seed = std::getenv("SOAK_SEED")) return {std::strtoull(seed, nullptr, 10)};
  std::vector<std::uint64_t> all;
  for (std::uint64_t seed = 1; seed <= kSeedsInCi; ++seed) all.push_back(seed);
  return all;
}

class Soak : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Soak, KeepsTheRules) {
  SoakRun run(GetParam());
  const std::vector<Violation> violations = run.play();
  std::cout << run.summary() << "\n";
  EXPECT_TRUE(violations.empty()) << "SOAK_SEED=" << GetParam() << " build-test/tests/soak_tests\n"
                                  << run.report(violations);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::ValuesIn(seeds()), ::testing::PrintToStringParamName());

}  // namespace
}  // namespace asterdrift::soak
