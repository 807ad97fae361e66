// Cold servers before many replicas: what all of them send together stays under N + 2 x root of N + 2 in any
// window of overload_window, N being what the settings allow then. Plays are named by what they add to a calm
// fleet; each is played with several seeds.
#include <gtest/gtest.h>

#include "support/fleet_model.h"

namespace asterdrift::balancer {
namespace {

struct Fleet {
  const char* name;
  double slow_start_capacity, slow_start_duration, overload_multiple, overload_window;
};
constexpr Fleet kSettings[] = {{"as on the site", 0.14, 22, 3, 2},
                               {"a low multiple", 0.1, 30, 1.5, 4},
                               {"a short ramp", 0.25, 10, 2, 3},
                               {"a short window", 0.05, 40, 4, 1}};

Play of(const Fleet& f, int replicas, int cold, int tier) {
  Play p;
  p.slow_start_capacity = f.slow_start_capacity;
  p.slow_start_duration = f.slow_start_duration;
  p.overload_multiple = f.overload_multiple;
  p.overload_window = f.overload_window;
  p.replicas = replicas;
  p.cold = cold;
  p.tier = tier;
  p.unit_rate = 6;
  p.cold_at = 8;
  p.end = 18;
  return p;
}

// The worst window of some seeds, in calls and in work.
void keeps_the_budget(Play play, const std::string& what) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    play.seed = seed;
    const Counts c = FleetModel(play).run();
    EXPECT_GE(c.calls.margin, 0) << what << ", seed " << seed << ": " << c.calls.received << " calls of "
                                 << c.calls.bears << ", " << c.calls.after << " s after the start";
  }
}

TEST(ColdFleet, OverloadsAndBurstsStayWithinTheBudget) {
  for (const Fleet& f : kSettings) {
    for (const int replicas : {4, 30, 300}) {
      for (const int tier : {0, 1}) {
        Play p = of(f, replicas, 8, tier);
        p.load = 1.4;
        p.burst = 2.3;
        keeps_the_budget(p, std::string(f.name) + ", " + std::to_string(replicas) + " copies, tier " +
                                std::to_string(tier));
      }
    }
  }
}

TEST(ColdFleet, TroubledNeighboursAreNoReasonForMore) {
  const std::pair<Trouble, const char*> troubles[] = {
      {Trouble::kRefusing, "refusing"}, {Trouble::kFailing, "failing"}, {Trouble::kSilent, "silent"},
      {Trouble::kSlow, "slow"},         {Trouble::kPausing, "pausing"}, {Trouble::kNoDial, "not reached"}};
  for (const Fleet& f : kSettings) {
    for (const auto& [trouble, name] : troubles) {
      Play p = of(f, 20, 8, 1);
      p.trouble = trouble;
      p.troubled = 0.3;
      p.load = 1;
      p.burst = 2.3;
      p.back = true;
      keeps_the_budget(p, std::string(f.name) + ", neighbours " + name);
    }
    Play p = of(f, 4, 1, 1);
    p.shared_slowness = true;
    p.load = 1.4;
    p.burst = 2.3;
    keeps_the_budget(p, std::string(f.name) + ", all slow");
  }
}

TEST(ColdFleet, AReplicaCountThatIsNoLongerTrueChangesNothing) {
  for (const Fleet& f : kSettings) {
    for (const Crew crew : {Crew::kHalved, Crew::kDoubled, Crew::kReplaced}) {
      for (const int replicas : {4, 30}) {
        Play p = of(f, replicas, 8, 0);
        p.crew = crew;
        p.load = 1.4;
        p.burst = 2.3;
        p.list_spread = 4;
        p.shared_slowness = replicas == 4;
        keeps_the_budget(p, std::string(f.name) + ", crew " + std::to_string(static_cast<int>(crew)) +
                                ", copies " + std::to_string(replicas));
      }
    }
  }
}

// Beside crowded neighbours a cold server looks as quick as they are, and is trusted with more.
TEST(ColdFleet, CrowdedNeighboursMakeNoColdServerLookQuick) {
  const std::pair<Trouble, double> troubles[] = {{Trouble::kPausing, 0.25}, {Trouble::kSlow, 0.4}};
  for (const Fleet& f : {kSettings[2], Fleet{"half its capacity", 0.5, 6, 1.5, 2}}) {
    for (const auto& [trouble, part] : troubles) {
      for (const int replicas : {4, 30}) {
        Play p = of(f, replicas, 8, 1);
        p.unit_rate = 12;
        p.trouble = trouble;
        p.troubled = part;
        p.slow_by = 2.5;
        p.load = 1.4;
        p.burst = 2.3;
        p.burst_after = 4;
        keeps_the_budget(p, std::string(f.name) + ", " + std::to_string(replicas) + " copies");
      }
    }
  }
}

// What is held back for safety alone never warms up beside crowded ones.
TEST(ColdFleet, StartingServersAreNotLeftIdle) {
  for (const int replicas : {4, 30, 300}) {
    Play p = of(kSettings[0], replicas, 4, 0);
    p.unit_rate = 20;
    p.load = 0.7;
    double part = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      p.seed = seed;
      part += FleetModel(p).run().cold_part / 3;
    }
    EXPECT_GE(part, replicas == 300 ? 0.15 : 0.35) << replicas << " copies";
  }
}

// The same play gives the same counts, and the members of a crew do differ.
TEST(ColdFleet, PlaysAreTheSameEveryTime) {
  Play p = of(kSettings[0], 30, 8, 0);
  p.crew = Crew::kReplaced;
  const Counts a = FleetModel(p).run(), b = FleetModel(p).run();
  EXPECT_EQ(a.sends, b.sends);
  EXPECT_EQ(a.in_time, b.in_time);
  EXPECT_EQ(a.calls.received, b.calls.received);
  p.seed = 2;
  EXPECT_NE(a.sends, FleetModel(p).run().sends);
}

}  // namespace
}  // namespace asterdrift::balancer
