// Compares the indexes of the endpoint set, and the subsets, with a list without indexes.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "balancer/endpoint_set.h"
#include "balancer/subset.h"
#include "support/random_endpoint_updates.h"

namespace asterdrift::balancer {
namespace {

std::vector<std::string> addresses(const EndpointSet& endpoints, const std::vector<std::uint32_t>& slots) {
  std::vector<std::string> addresses;
  addresses.reserve(slots.size());
  for (const std::uint32_t slot : slots) addresses.push_back(endpoints[slot].advertised.address);
  return addresses;
}

std::vector<std::string> addresses(const EndpointSet& endpoints, const support::CircularRange& range) {
  std::vector<std::uint32_t> slots;
  range.collect(0, range.size, slots);
  return addresses(endpoints, slots);
}

std::vector<std::string> ready_in_all_zones(const ReferenceEndpointList& list) {
  return list.ready_addresses([](const Endpoint&) { return true; });
}

std::vector<std::string> ready_in_zone(const ReferenceEndpointList& list, int zone) {
  return list.ready_addresses([=](const Endpoint& endpoint) { return endpoint.zone == zone; });
}

std::vector<std::string> ready_in_other_zones(const ReferenceEndpointList& list, int zone) {
  return list.ready_addresses([=](const Endpoint& endpoint) { return endpoint.zone != zone; });
}

double ready_weight(const ReferenceEndpointList& list) {
  double sum = 0;
  for (const std::string& address : ready_in_all_zones(list)) {
    const double weight = list.endpoints().at(address).weight;
    sum += weight > 0 ? weight : 1;
  }
  return sum;
}

void expect_indexes_match(const EndpointSet& endpoints, const ReferenceEndpointList& list, int own_zone) {
  ASSERT_EQ(addresses(endpoints, endpoints.all()), ready_in_all_zones(list));
  ASSERT_EQ(addresses(endpoints, endpoints.other_zones()), ready_in_other_zones(list, own_zone));
  for (int zone = 0; zone < 3; ++zone) {
    ASSERT_EQ(addresses(endpoints, endpoints.in_zone(zone)), ready_in_zone(list, zone));
  }
  for (int cell = -2; cell < 12; ++cell) {
    ASSERT_EQ(addresses(endpoints, endpoints.in_cell(cell)),
              list.ready_addresses([=](const Endpoint& endpoint) { return endpoint.cell == cell; }));
  }
  ASSERT_NEAR(endpoints.ready_weight(), ready_weight(list), 1e-9);
  ASSERT_EQ(endpoints.metrics([](const EndpointRecord&) { return false; }).listed, list.endpoints().size());
}

// The subset that a replica should use: a share of the endpoints of its own zone and a share of those of
// other zones, or a share of all endpoints.
std::vector<std::string> expected_subset(const Settings& settings, const ReferenceEndpointList& list,
                                         bool prefers_own_zone) {
  std::vector<std::vector<std::string>> groups = {ready_in_all_zones(list)};
  if (prefers_own_zone)
    groups = {ready_in_zone(list, settings.zone), ready_in_other_zones(list, settings.zone)};
  std::vector<std::string> subset;
  for (const std::vector<std::string>& group : groups) {
    const auto replicas = static_cast<std::size_t>(settings.replica_count);
    const std::size_t size =
        std::max(kMinSubsetSize, (kMinSharingReplicas * group.size() + replicas - 1) / replicas);
    const auto replica = static_cast<std::size_t>(settings.replica_index);
    for (const std::size_t position : subset_positions(replica, replicas, group.size(), size))
      subset.push_back(group[position]);
  }
  return subset;
}

void expect_subset_matches(const Subset& subset, const EndpointSet& endpoints,
                           const ReferenceEndpointList& list, const Settings& settings,
                           support::Random& random) {
  const std::size_t in_own_zone = ready_in_zone(list, settings.zone).size();
  ASSERT_EQ(subset.prefers_own_zone(), settings.cross_zone_cost > 0 && in_own_zone >= kMinZoneSize);
  const std::vector<std::string> expected = expected_subset(settings, list, subset.prefers_own_zone());
  ASSERT_EQ(subset.size(), expected.size());
  std::vector<std::uint32_t> examined;
  subset.sample(random, examined);
  ASSERT_LE(examined.size(), kMaxExaminedEndpoints);
  const auto sampled = addresses(endpoints, examined);
  if (expected.size() <= kMaxExaminedEndpoints) {
    ASSERT_EQ(sampled, expected);
  } else {
    const std::set<std::string> all(expected.begin(), expected.end());
    for (const std::string& address : sampled) ASSERT_TRUE(all.contains(address));
  }
}

TEST(EndpointIndex, IndexesAndSubsetMatchReferenceList) {
  std::size_t max_ready = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Settings settings =
        settings_for_many_replicas(make_request_class(Idempotency::kIdempotent), seed % 2 == 0 ? 90 : 25);
    settings.replica_index = static_cast<int>(seed) * 3;
    settings.zone = 1;
    settings.cross_zone_cost = seed % 3 == 0 ? 0 : 0.02;
    EndpointSet endpoints(settings.zone);
    Subset subset;
    ReferenceEndpointList list;
    RandomEndpointUpdates updates(seed);
    support::Random random(seed);
    for (int step = 0; step < 250; ++step) {
      const EndpointUpdate update = updates.next(list);
      endpoints.apply(update, step, 0, random);
      list.apply(update);
      subset.update(settings, endpoints);
      max_ready = std::max(max_ready, ready_in_all_zones(list).size());
      expect_indexes_match(endpoints, list, settings.zone);
      expect_subset_matches(subset, endpoints, list, settings, random);
      if (HasFatalFailure()) return;
    }
  }
  EXPECT_GT(max_ready, 500U);
}

TEST(EndpointIndex, LargeSubsetIsSampledEvenly) {
  EndpointSet endpoints(0);
  Subset subset;
  support::Random random(1);
  endpoints.apply(make_fleet_snapshot(3000), 0, 0, random);
  Settings settings = settings_for_many_replicas(make_request_class(Idempotency::kIdempotent), 1);
  settings.cross_zone_cost = 0.02;
  subset.update(settings, endpoints);
  ASSERT_EQ(subset.size(), 3000U);
  std::set<std::uint32_t> sampled;
  std::vector<std::uint32_t> examined;
  int in_own_zone = 0;
  int total = 0;
  for (int i = 0; i < 3000; ++i) {
    subset.sample(random, examined);
    ASSERT_LE(examined.size(), kMaxExaminedEndpoints);
    for (const std::uint32_t slot : examined) {
      sampled.insert(slot);
      ++total;
      if (endpoints[slot].advertised.zone == 0) ++in_own_zone;
    }
  }
  EXPECT_EQ(sampled.size(), 3000U);
  EXPECT_NEAR(in_own_zone, total / 3.0, total / 30.0);
}

TEST(EndpointIndex, SuccessiveSamplesCoverAllEndpoints) {
  EndpointSet endpoints(0);
  Subset subset;
  support::Random random(1);
  endpoints.apply(make_fleet_snapshot(7000), 0, 0, random);
  subset.update(settings_for_many_replicas(), endpoints);
  std::set<std::uint32_t> sampled;
  std::vector<std::uint32_t> examined;
  for (std::size_t i = 0; i < 7000 / kMaxExaminedEndpoints + 1; ++i) {
    subset.sample_next(endpoints.all(), examined);
    ASSERT_EQ(examined.size(), kMaxExaminedEndpoints);
    sampled.insert(examined.begin(), examined.end());
  }
  EXPECT_EQ(sampled.size(), 7000U);
}

// Also adds the number of attempts to `attempts`.
void expect_attempts_at_ready_endpoints(const std::vector<Action>& actions, const ReferenceEndpointList& list,
                                        std::size_t& attempts) {
  for (const SendAttempt& send : actions_of_type<SendAttempt>(actions)) {
    ++attempts;
    const auto endpoint = list.endpoints().find(send.endpoint);
    ASSERT_TRUE(endpoint != list.endpoints().end() && endpoint->second.state == EndpointState::kReady)
        << send.endpoint;
  }
}

TEST(EndpointIndex, NoAttemptIsSentToDrainingOrRemovedEndpoint) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Settings settings =
        settings_for_many_replicas(make_request_class(Idempotency::kIdempotencyKey), seed % 2 == 0 ? 300 : 5);
    settings.cross_zone_cost = seed > 2 ? 0.02 : 0;
    TestReplica replica(settings, seed);
    ReferenceEndpointList list;
    RandomEndpointUpdates updates(seed);
    support::Random random(seed);
    std::size_t attempts = 0;
    for (int step = 0; step < 4000; ++step) {
      replica.now += 0.02;
      if (random.below(4) == 0) {
        const EndpointUpdate update = updates.next(list);
        list.apply(update);
        replica.handle(replica.now, update);
      }
      expect_attempts_at_ready_endpoints(replica.request(std::to_string(step)), list, attempts);
      const std::string earlier = std::to_string(step - static_cast<int>(random.below(30)));
      const Outcome outcome = random.below(3) == 0 ? Outcome::kConnectionReset : Outcome::kSuccess;
      for (int attempt = 0; attempt < 3; ++attempt) {
        const auto actions = replica.end_attempt(earlier, outcome, attempt, 0.1);
        expect_attempts_at_ready_endpoints(actions, list, attempts);
      }
    }
    EXPECT_GT(attempts, 3000U);
  }
}

}  // namespace
}  // namespace asterdrift::balancer
