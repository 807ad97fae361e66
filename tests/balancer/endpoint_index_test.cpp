// The indexes of the endpoint set, and subsets of them, against a plain list.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "balancer/endpoint_set.h"
#include "balancer/subset.h"
#include "support/random_endpoint_updates.h"

namespace asterdrift::balancer {
namespace {

std::vector<std::string> names(const EndpointSet& endpoints, const std::vector<std::uint32_t>& slots) {
  std::vector<std::string> out;
  out.reserve(slots.size());
  for (const std::uint32_t slot : slots) out.push_back(endpoints[slot].advertised.address);
  return out;
}

std::vector<std::string> names(const EndpointSet& endpoints, const support::CircularRange& range) {
  std::vector<std::uint32_t> slots;
  range.collect(0, range.size, slots);
  return names(endpoints, slots);
}

TEST(EndpointIndex, IndexesAndSubsetMatchReferenceList) {
  std::size_t most = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Settings s = many_replicas(make_request_class(Idempotency::kIdempotent), seed % 2 == 0 ? 90 : 25);
    s.replica_index = static_cast<int>(seed) * 3;
    s.zone = 1;
    s.cross_zone_cost = seed % 3 == 0 ? 0 : 0.02;
    EndpointSet endpoints(s.zone);
    Subset subset;
    PlainList list;
    Changes changes(seed);
    support::Random random(seed);
    for (int step = 0; step < 250; ++step) {
      const EndpointUpdate update = changes.next(list);
      endpoints.apply(update, step, 0, random);
      list.learn(update);
      subset.update(s, endpoints);
      const auto any = list.ready([](const Endpoint&) { return true; });
      most = std::max(most, any.size());
      ASSERT_EQ(names(endpoints, endpoints.all()), any);
      const auto far = list.ready([](const Endpoint& t) { return t.zone != 1; });
      ASSERT_EQ(names(endpoints, endpoints.other_zones()), far);
      for (int zone = 0; zone < 3; ++zone) {
        ASSERT_EQ(names(endpoints, endpoints.in_zone(zone)),
                  list.ready([=](const Endpoint& t) { return t.zone == zone; }));
      }
      for (int cell = -2; cell < 12; ++cell) {
        ASSERT_EQ(names(endpoints, endpoints.in_cell(cell)),
                  list.ready([=](const Endpoint& t) { return t.cell == cell; }));
      }
      double weight = 0;
      for (const std::string& address : any) {
        weight += list.known[address].weight > 0 ? list.known[address].weight : 1;
      }
      ASSERT_NEAR(endpoints.ready_weight(), weight, 1e-9);
      ASSERT_EQ(endpoints.view([](const EndpointRecord&) { return false; }).listed, list.known.size());

      const auto local = list.ready([](const Endpoint& t) { return t.zone == 1; });
      ASSERT_EQ(subset.prefers_own_zone(), s.cross_zone_cost > 0 && local.size() >= kLeastZoneSize);
      std::vector<std::string> expected;
      std::vector<std::vector<std::string>> parts = {any};
      if (subset.prefers_own_zone()) parts = {local, far};
      for (const std::vector<std::string>& from : parts) {
        const auto count = static_cast<std::size_t>(s.replica_count);
        const std::size_t size = std::max(kLeastSubset, (kLeastReplicas * from.size() + count - 1) / count);
        for (const std::size_t at :
             subset_of(static_cast<std::size_t>(s.replica_index), count, from.size(), size)) {
          expected.push_back(from[at]);
        }
      }
      ASSERT_EQ(subset.size(), expected.size());
      std::vector<std::uint32_t> examined;
      subset.sample(random, examined);
      ASSERT_LE(examined.size(), kMostExamined);
      const auto seen = names(endpoints, examined);
      if (expected.size() <= kMostExamined) {
        ASSERT_EQ(seen, expected);
      } else {
        const std::set<std::string> all(expected.begin(), expected.end());
        for (const std::string& address : seen) ASSERT_TRUE(all.contains(address));
      }
    }
  }
  EXPECT_GT(most, 500U);
}

TEST(EndpointIndex, LargeSubsetIsSampledEvenly) {
  EndpointSet endpoints(0);
  Subset subset;
  support::Random random(1);
  endpoints.apply(fleet(3000), 0, 0, random);
  Settings s = many_replicas(make_request_class(Idempotency::kIdempotent), 1);
  s.cross_zone_cost = 0.02;
  subset.update(s, endpoints);
  ASSERT_EQ(subset.size(), 3000U);
  std::map<std::uint32_t, int> seen;
  std::vector<std::uint32_t> examined;
  int own = 0, all = 0;
  for (int i = 0; i < 3000; ++i) {
    subset.sample(random, examined);
    ASSERT_LE(examined.size(), kMostExamined);
    for (const std::uint32_t slot : examined) {
      ++seen[slot];
      ++all;
      if (endpoints[slot].advertised.zone == 0) ++own;
    }
  }
  EXPECT_EQ(seen.size(), 3000U);
  EXPECT_NEAR(own, all / 3.0, all / 30.0);
}

TEST(EndpointIndex, SuccessiveSamplesCoverAllEndpoints) {
  EndpointSet endpoints(0);
  Subset subset;
  support::Random random(1);
  endpoints.apply(fleet(7000), 0, 0, random);
  subset.update(many_replicas(), endpoints);
  std::set<std::uint32_t> seen;
  std::vector<std::uint32_t> examined;
  for (std::size_t i = 0; i < 7000 / kMostExamined + 1; ++i) {
    subset.sample_next(endpoints.all(), examined);
    ASSERT_EQ(examined.size(), kMostExamined);
    seen.insert(examined.begin(), examined.end());
  }
  EXPECT_EQ(seen.size(), 7000U);
}

TEST(EndpointIndex, NoAttemptIsSentToDrainingOrRemovedEndpoint) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Settings s = many_replicas(make_request_class(Idempotency::kIdempotencyKey, DedupScope::kCell),
                               seed % 2 == 0 ? 300 : 5);
    s.cross_zone_cost = seed > 2 ? 0.02 : 0;
    TestReplica replica(s, seed);
    PlainList list;
    Changes changes(seed);
    support::Random random(seed);
    std::size_t sends = 0;
    const auto check = [&](const std::vector<Action>& actions) {
      for (const SendAttempt& send : only<SendAttempt>(actions)) {
        ++sends;
        const auto it = list.known.find(send.endpoint);
        ASSERT_TRUE(it != list.known.end() && it->second.state == EndpointState::kReady) << send.endpoint;
      }
    };
    for (int step = 0; step < 4000; ++step) {
      replica.now += 0.02;
      if (random.below(4) == 0) {
        const EndpointUpdate update = changes.next(list);
        list.learn(update);
        replica.handle(replica.now, update);
      }
      check(replica.request(std::to_string(step)));
      const std::string late = std::to_string(step - static_cast<int>(random.below(30)));
      const Outcome outcome = random.below(3) == 0 ? Outcome::kConnectionReset : Outcome::kSuccess;
      for (int attempt = 0; attempt < 3; ++attempt) check(replica.end_attempt(late, outcome, attempt, 0.1));
    }
    EXPECT_GT(sends, 3000U);
  }
}

}  // namespace
}  // namespace asterdrift::balancer
