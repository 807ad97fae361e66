// Subsetting: which endpoints a replica uses.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

constexpr int kZoneRequests = 600;

// Fractions of kZoneRequests that were sent to the replica's own zone and to other zones.
struct ZoneFractions {
  double own = 0;
  double other = 0;
};

// Measures to which zones a replica of zone 0 sends its requests. `zones` holds the zones of the endpoints 0,
// 1, ...
ZoneFractions measure_zone_fractions(const std::vector<int>& zones,
                                     const std::function<Seconds(int zone)>& latency) {
  Settings settings = basic_settings();
  settings.cross_zone_cost = 0.01;
  TestReplica replica(settings);
  EndpointUpdate snapshot;
  for (std::size_t i = 0; i < zones.size(); ++i)
    snapshot.endpoints.push_back(make_endpoint(static_cast<int>(i), zones[i]));
  replica.handle(0, snapshot);
  int own = 0;
  int other = 0;
  for (int i = 0; i < kZoneRequests; ++i) {
    replica.now = i * 0.5;
    const std::string id = std::to_string(i);
    for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(id))) {
      const int zone = zones[std::stoul(send.endpoint.substr(1))];
      ++(zone == 0 ? own : other);
      replica.end_attempt(id, Outcome::kSuccess, 0, latency(zone));
    }
  }
  return {own / static_cast<double>(kZoneRequests), other / static_cast<double>(kZoneRequests)};
}

TEST(Subset, SlowZoneSpillsOverToOtherZones) {
  const auto other_zone_fraction = [](Seconds own_zone_latency) {
    const std::vector<int> zones = {0, 1, 0, 1, 0, 1, 0, 1, 0, 1, 0, 1};
    return measure_zone_fractions(zones, [=](int zone) { return zone == 0 ? own_zone_latency : 0.12; }).other;
  };
  EXPECT_LT(other_zone_fraction(0.1), 0.1)
      << "random differences must not outweigh the cost of crossing zones";
  EXPECT_GT(other_zone_fraction(0.5), 0.4);
}

// If preferred, a single small endpoint of a zone would get all requests of replicas in that zone while large
// endpoints of other zones are idle.
TEST(Subset, ZoneWithFewEndpointsIsNotPreferred) {
  const auto own_zone_fraction = [](int own_zone_endpoints) {
    std::vector<int> zones(9, 1);
    std::fill_n(zones.begin(), own_zone_endpoints, 0);
    return measure_zone_fractions(zones, [](int) { return 0.1; }).own;
  };
  EXPECT_LT(own_zone_fraction(1), 0.3);
  EXPECT_LT(own_zone_fraction(2), 0.4);
  EXPECT_GT(own_zone_fraction(3), 0.9);
}

TEST(Subset, SubsetsCoverEndpointsEvenly) {
  for (std::size_t replicas = 1; replicas <= 40; ++replicas) {
    for (std::size_t endpoints = 1; endpoints <= 45; endpoints += 4) {
      for (const std::size_t size : {3U, 8U}) {
        std::vector<int> uses(endpoints, 0);
        for (std::size_t replica = 0; replica < replicas; ++replica) {
          const auto subset = subset_positions(replica, replicas, endpoints, size);
          const std::set<std::size_t> distinct(subset.begin(), subset.end());
          EXPECT_EQ(distinct.size(), std::min(size, endpoints));
          for (const std::size_t position : subset) ++uses[position];
        }
        const auto [min, max] = std::minmax_element(uses.begin(), uses.end());
        EXPECT_LE(*max - *min, 1) << replicas << " replicas, " << endpoints << " endpoints, size " << size;
      }
    }
  }
}

std::set<std::string> used_endpoints(const Settings& settings, const EndpointUpdate& snapshot) {
  TestReplica replica(settings);
  replica.handle(0, snapshot);
  std::set<std::string> used;
  for (int i = 0; i < 400; ++i) {
    const std::string id = std::to_string(i);
    for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(id)))
      used.insert(send.endpoint);
    replica.end_attempt(id, Outcome::kSuccess);
  }
  return used;
}

TEST(Subset, ChangesLittleWhenOneEndpointIsRemoved) {
  const EndpointUpdate snapshot = make_snapshot(24);
  EndpointUpdate without_one = snapshot;
  without_one.endpoints.erase(without_one.endpoints.begin() + 5);
  for (const int replicas : {3, 7, 12}) {
    for (int index = 0; index < replicas; ++index) {
      Settings settings = basic_settings();
      settings.replica_index = index;
      settings.replica_count = replicas;
      const auto before = used_endpoints(settings, snapshot);
      const auto after = used_endpoints(settings, without_one);
      std::vector<std::string> common;
      std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                            std::back_inserter(common));
      EXPECT_GE(common.size() + 2, before.size());
    }
  }
}

// With subsets of a fixed size, few replicas would leave most endpoints of a large tier without work.
TEST(Subset, FewReplicasReachAllEndpoints) {
  std::set<std::string> used;
  for (int index = 0; index < 2; ++index) {
    Settings settings = basic_settings();
    settings.replica_index = index;
    settings.replica_count = 2;
    TestReplica replica(settings);
    replica.handle(0, make_snapshot(40));
    for (int i = 0; i < 200; ++i) {
      for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(std::to_string(i))))
        used.insert(send.endpoint);
    }
  }
  EXPECT_EQ(used.size(), 40U);
}

}  // namespace
}  // namespace asterdrift::balancer
