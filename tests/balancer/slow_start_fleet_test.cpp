// Slow start in a fleet: all replicas together send a starting server at most N + 2 x sqrt(N) + 2 attempts in
// any window of overload_window. N is the number of attempts that the settings allow at that time. Each
// scenario runs with several seeds.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "support/simulated_fleet/simulated_fleet.h"

namespace asterdrift::balancer {
namespace {

struct SlowStartSettings {
  const char* name;
  double slow_start_capacity;
  Seconds slow_start_duration;
  double overload_multiple;
  Seconds overload_window;
};
constexpr SlowStartSettings kSlowStartSettings[] = {{"as deployed", 0.14, 22, 3, 2},
                                                    {"small multiple", 0.1, 30, 1.5, 4},
                                                    {"short slow start", 0.25, 10, 2, 3},
                                                    {"short window", 0.05, 40, 4, 1}};

FleetScenario make_scenario(const SlowStartSettings& settings, int replicas, int starting_servers, int tier) {
  FleetScenario scenario;
  scenario.slow_start_capacity = settings.slow_start_capacity;
  scenario.slow_start_duration = settings.slow_start_duration;
  scenario.overload_multiple = settings.overload_multiple;
  scenario.overload_window = settings.overload_window;
  scenario.replicas = replicas;
  scenario.starting_servers = starting_servers;
  scenario.tier = tier;
  scenario.rate_per_weight = 6;
  scenario.start_at = 8;
  scenario.end_at = 18;
  return scenario;
}

// A scenario whose load and burst exceed the fleet's capacity.
FleetScenario make_overload_scenario(const SlowStartSettings& settings, int replicas, int starting_servers,
                                     int tier) {
  FleetScenario scenario = make_scenario(settings, replicas, starting_servers, tier);
  scenario.load = 1.4;
  scenario.burst_factor = 2.3;
  return scenario;
}

void expect_load_within_budget(FleetScenario scenario, const std::string& description) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    scenario.seed = seed;
    const OverloadWindow worst = SimulatedFleet(scenario).run().slow_start.attempts;
    EXPECT_GE(worst.margin, 0) << description << ", seed " << seed << ": " << worst.received
                               << " attempts of " << worst.limit << ", " << worst.time_since_start
                               << " s after the start";
  }
}

TEST(SlowStartFleet, OverloadAndBurstsStayWithinBudget) {
  for (const SlowStartSettings& settings : kSlowStartSettings) {
    for (const int replicas : {4, 30, 300}) {
      for (const int tier : {0, 1}) {
        expect_load_within_budget(make_overload_scenario(settings, replicas, 8, tier),
                                  std::string(settings.name) + ", " + std::to_string(replicas) +
                                      " replicas, tier " + std::to_string(tier));
      }
    }
  }
}

TEST(SlowStartFleet, FaultyEndpointsDoNotRaiseBudget) {
  const std::pair<Fault, const char*> faults[] = {
      {Fault::kRejecting, "rejecting"}, {Fault::kFailing, "failing"}, {Fault::kUnresponsive, "unresponsive"},
      {Fault::kSlow, "slow"},           {Fault::kPausing, "pausing"}, {Fault::kUnreachable, "unreachable"}};
  for (const SlowStartSettings& settings : kSlowStartSettings) {
    for (const auto& [fault, name] : faults) {
      FleetScenario scenario = make_overload_scenario(settings, 20, 8, 1);
      scenario.fault = fault;
      scenario.faulty_fraction = 0.3;
      scenario.load = 1;
      scenario.restart_after_crash = true;
      expect_load_within_budget(scenario, std::string(settings.name) + ", other servers " + name);
    }
    FleetScenario scenario = make_overload_scenario(settings, 4, 1, 1);
    scenario.shared_slowdown = true;
    expect_load_within_budget(scenario, std::string(settings.name) + ", all slow");
  }
}

TEST(SlowStartFleet, OutdatedReplicaCountDoesNotRaiseBudget) {
  for (const SlowStartSettings& settings : kSlowStartSettings) {
    for (const ReplicaSetChange change :
         {ReplicaSetChange::kHalved, ReplicaSetChange::kDoubled, ReplicaSetChange::kReplaced}) {
      for (const int replicas : {4, 30}) {
        FleetScenario scenario = make_overload_scenario(settings, replicas, 8, 0);
        scenario.replica_set_change = change;
        scenario.notification_spread = 4;
        scenario.shared_slowdown = replicas == 4;
        expect_load_within_budget(scenario, std::string(settings.name) + ", replica set change " +
                                                std::to_string(static_cast<int>(change)) + ", replicas " +
                                                std::to_string(replicas));
      }
    }
  }
}

// Next to congested servers a starting server responds as fast as they do and therefore gets more requests,
// but still no more than its budget.
TEST(SlowStartFleet, CongestedEndpointsDoNotRaiseBudget) {
  const std::pair<Fault, double> faults[] = {{Fault::kPausing, 0.25}, {Fault::kSlow, 0.4}};
  for (const SlowStartSettings& settings :
       {kSlowStartSettings[2], SlowStartSettings{"half its capacity", 0.5, 6, 1.5, 2}}) {
    for (const auto& [fault, faulty_fraction] : faults) {
      for (const int replicas : {4, 30}) {
        FleetScenario scenario = make_overload_scenario(settings, replicas, 8, 1);
        scenario.rate_per_weight = 12;
        scenario.fault = fault;
        scenario.faulty_fraction = faulty_fraction;
        scenario.slowdown = 2.5;
        scenario.burst_delay = 4;
        expect_load_within_budget(scenario,
                                  std::string(settings.name) + ", " + std::to_string(replicas) + " replicas");
      }
    }
  }
}

// A starting server that gets almost no requests, for its protection, never warms up.
TEST(SlowStartFleet, StartingEndpointsAreNotLeftIdle) {
  for (const int replicas : {4, 30, 300}) {
    FleetScenario scenario = make_scenario(kSlowStartSettings[0], replicas, 4, 0);
    scenario.rate_per_weight = 20;
    scenario.load = 0.7;
    double utilization = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      scenario.seed = seed;
      utilization += SimulatedFleet(scenario).run().slow_start_utilization() / 3;
    }
    EXPECT_GE(utilization, replicas == 300 ? 0.15 : 0.35) << replicas << " replicas";
  }
}

TEST(SlowStartFleet, SameSeedGivesSameCounts) {
  FleetScenario scenario = make_scenario(kSlowStartSettings[0], 30, 8, 0);
  scenario.replica_set_change = ReplicaSetChange::kReplaced;
  const FleetCounts first = SimulatedFleet(scenario).run();
  const FleetCounts second = SimulatedFleet(scenario).run();
  EXPECT_EQ(first.attempts, second.attempts);
  EXPECT_EQ(first.within_objective, second.within_objective);
  EXPECT_EQ(first.slow_start.attempts.received, second.slow_start.attempts.received);
  scenario.seed = 2;
  EXPECT_NE(first.attempts, SimulatedFleet(scenario).run().attempts);
}

}  // namespace
}  // namespace asterdrift::balancer
