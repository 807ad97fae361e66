// Retries over depth: what a request at the top costs the last of many tiers when calls fail. Every attempt
// and every budget is the real module's.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <optional>

#include "support/chain_model.h"

namespace asterdrift::balancer {
namespace {

constexpr int kTiers = 28;

enum class Where { kEachTier, kLastTier, kOneTier };
const char* const kPlaces[] = {"each tier", "last tier", "one tier"};

struct Sort {
  Outcome outcome;
  const char* name;
};
constexpr Sort kSorts[] = {{Outcome::kServerError, "error"},
                           {Outcome::kRejected, "refused"},
                           {Outcome::kConnectionReset, "reset"},
                           {Outcome::kTimedOut, "timed out"},
                           {Outcome::kConnectFailed, "dial failed"}};

struct Share {
  double part;
  const char* name;
  double most;  // attempts that reach a server of any tier for a request at the top
};

ChainModel::Setup setup_of(Where where, Outcome outcome, double part, bool told) {
  ChainModel::Setup setup;
  setup.tiers = kTiers;
  setup.rate = 30;
  setup.seconds = 8;
  setup.settings = basic_settings();
  setup.settings.max_attempts = 5;
  if (told) setup.settings.tenants = {{setup.rate}};
  setup.failure = [=](int tier, double, double chance) {
    const bool here =
        where == Where::kEachTier || tier == (where == Where::kLastTier ? kTiers - 1 : kTiers / 2);
    return here && chance < part ? std::optional(outcome) : std::nullopt;
  };
  return setup;
}

// A row for each run, as a table: docs/CAPACITY.md takes its figures from them.
void guard(Where where, const std::vector<Share>& shares) {
  std::printf("| place | sort | part | allowance | served | attempts at the last tier | most at a tier |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const bool told : {true, false}) {
    for (const Share& share : shares) {
      for (const Sort& sort : kSorts) {
        if (!told && sort.outcome != Outcome::kServerError) continue;  // the limits differ, not the budgets
        const ChainModel::Setup setup = setup_of(where, sort.outcome, share.part, told);
        const ChainModel::Counts counts = ChainModel(setup).run();
        int most_work = 0, most_dials = 0;
        for (std::size_t tier = 0; tier < kTiers; ++tier) {
          most_work = std::max(most_work, counts.sends[tier] - counts.dials[tier]);
          most_dials = std::max(most_dials, counts.sends[tier]);
        }
        const double most = static_cast<double>(most_dials) / counts.requests;
        std::printf("| %s | %s | %s | %s | %.3f | %.2f | %.2f |\n", kPlaces[static_cast<int>(where)],
                    sort.name, share.name, told ? "told" : "untold",
                    static_cast<double>(counts.served) / counts.requests, counts.attempts_at_last(), most);
        // A fifth of what is answered, and five that each replica has saved up. What follows a failed dial is
        // free: the dial has brought no server any work.
        for (std::size_t tier = 0; tier < kTiers; ++tier) {
          const int replicas = tier == 0 ? 1 : setup.servers;
          EXPECT_LE(counts.further[tier], 0.2 * counts.answered[tier] + 5 * replicas + 0.01)
              << sort.name << ", " << share.name << ", tier " << tier;
        }
        EXPECT_LE(static_cast<double>(most_work) / counts.requests, share.most)
            << sort.name << ", " << share.name << (told ? ", told" : ", untold");
        EXPECT_LE(most, share.most * 1.1) << "dials too: " << sort.name << ", " << share.name;
      }
    }
  }
}

TEST(Depth, AttemptsAreBoundedWhenEachTierFails) {
  guard(Where::kEachTier, {{0.1, "tenth", 1.25}, {0.5, "half", 1.1}, {1, "all", 1.1}});
}

// A budget that grows with what is sent, whatever becomes of it, grows with the attempts of the tier
// above: 1.2 to the power of the depth. Over these 8 s most of what is beyond one is saved up from the start.
TEST(Depth, AttemptsAreBoundedWhenLastTierFails) {
  guard(Where::kLastTier, {{0.1, "tenth", 1.2}, {0.5, "half", 2.3}, {1, "all", 2.65}});
}

TEST(Depth, AttemptsAreBoundedWhenMiddleTierFails) {
  guard(Where::kOneTier, {{0.1, "tenth", 1.2}, {0.5, "half", 2.3}, {1, "all", 2}});
}

}  // namespace
}  // namespace asterdrift::balancer
