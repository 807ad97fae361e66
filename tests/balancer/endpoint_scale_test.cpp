// Many servers: what one change and one call cost, in counts, and that the right servers are found.
#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <new>
#include <set>

#include "balancer/endpoint_set.h"
#include "balancer/subset.h"
#include "support/random_endpoint_updates.h"
#include "support/random_event_stream.h"

namespace {
std::size_t allocated = 0;  // bytes asked for by anything in this program
}

// Not inlined: GCC takes their parts for mismatched ones.
[[gnu::noinline]] void* operator new(std::size_t bytes) {
  allocated += bytes;
  if (void* at = std::malloc(bytes)) return at;
  throw std::bad_alloc();
}
[[gnu::noinline]] void* operator new(std::size_t bytes, const std::nothrow_t&) noexcept {
  allocated += bytes;
  return std::malloc(bytes);
}
[[gnu::noinline]] void operator delete(void* at) noexcept { std::free(at); }
[[gnu::noinline]] void operator delete(void* at, std::size_t) noexcept { std::free(at); }

namespace asterdrift::balancer {
namespace {

constexpr std::size_t kMostInOneCall = 600;    // servers looked at: 7 x kMostExamined, and to book the call
constexpr std::size_t kMostInOneChange = 250;  // in five rankings, and to look at a small subset

std::uint64_t examined(const TestReplica& replica) {
  return replica.balancer.endpoints(replica.now).examined;
}

// The digests are those of a balancer that examines every endpoint: it had no indexes yet. They cover the log
// lines too; with the wording of that time the digests are the ones recorded then.
TEST(EndpointScale, DecisionsMatchExhaustiveSearchInSmallFleets) {
  const std::map<std::size_t, std::uint64_t> before = {
      {7, 0xd521f1c56395b2adU}, {20, 0xdb595e1d83a5a9d5U}, {64, 0x74fd6b5fbbef9f5fU}};
  for (const auto& [servers, digest] : before) {
    std::uint64_t all = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      RandomEventStream stream(seed, servers);
      stream.run(4000);
      EXPECT_GT(stream.retries(), 0U);
      all = all * 31 + stream.digest();
    }
    EXPECT_EQ(all, digest) << servers << " servers: " << std::hex << all;
  }
}

TEST(EndpointScale, UpdateCostIsIndependentOfFleetSize) {
  for (const int replicas : {2000, 4}) {
    for (const int servers : {700, 7000, 27000}) {
      TestReplica replica(many_replicas(make_request_class(Idempotency::kIdempotent), replicas));
      replica.handle(0, fleet(servers));
      for (int i = 0; i < 600; ++i) {
        const std::size_t bytes = allocated;
        const std::uint64_t before = examined(replica);
        replica.handle(1 + i, change(numbered(i / 2 * 7919 % servers),
                                     i % 2 == 0 ? EndpointState::kDraining : EndpointState::kReady));
        ASSERT_LE(examined(replica) - before, kMostInOneChange) << servers << " servers, change " << i;
        ASSERT_LE(allocated - bytes, 20000U) << servers << " servers, change " << i;
      }
    }
  }
}

TEST(EndpointScale, RequestExaminesBoundedNumberOfEndpointsAlsoWhenNoneIsHealthy) {
  for (const int replicas : {2000, 4}) {
    for (const int servers : {700, 7000, 27000}) {
      Settings s =
          many_replicas(make_request_class(Idempotency::kIdempotencyKey, DedupScope::kZone), replicas);
      s.tier = replicas == 4 ? 1 : 0;
      s.slow_start_capacity = 0.01;
      s.slow_start_duration = 1e6;
      TestReplica replica(s);
      EndpointUpdate cold = fleet(servers);
      for (Endpoint& told : cold.endpoints) told.started_at = 1;
      replica.handle(1, cold);
      for (int i = 0; i < 500; ++i) {
        replica.now += 0.01;
        const std::string id = std::to_string(i);
        std::uint64_t before = examined(replica);
        std::vector<Action> actions = replica.request(id);
        ASSERT_LE(examined(replica) - before, kMostInOneCall);
        for (int attempt = 0; !only<SendAttempt>(actions).empty(); ++attempt) {
          replica.now += 0.001;
          before = examined(replica);
          actions = replica.end_attempt(id, Outcome::kConnectionReset, attempt);
          ASSERT_LE(examined(replica) - before, kMostInOneCall);
        }
      }
    }
  }
}

TEST(EndpointScale, ViewCostIsIndependentOfFleetSize) {
  TestReplica replica(many_replicas());
  replica.handle(0, fleet(27000));
  for (int i = 0; i < 400; ++i) {
    replica.now += 0.01;
    replica.request(std::to_string(i));
    replica.end_attempt(std::to_string(i), Outcome::kSuccess);
  }
  const std::uint64_t before = examined(replica);
  EXPECT_EQ(replica.balancer.endpoints(replica.now).listed, 27000U);
  EXPECT_LE(examined(replica) - before, 60U);  // twice the 27 of its subset
}

// The servers that calls of a replica go to while all is well.
std::set<std::string> used_by(TestReplica& replica, int calls = 200) {
  std::set<std::string> out;
  for (int i = 0; i < calls; ++i) {
    replica.now += 0.01;
    const std::string id = "well" + std::to_string(i);
    for (const SendAttempt& s : only<SendAttempt>(replica.request(id))) out.insert(s.endpoint);
    replica.end_attempt(id, Outcome::kSuccess);
  }
  return out;
}

TEST(EndpointScale, OtherEndpointsServeWhenSubsetIsFailingUnresponsiveOrDraining) {
  for (const char* what : {"ill", "silent", "draining"}) {
    TestReplica replica(many_replicas());
    replica.handle(0, fleet(7000));
    const std::set<std::string> subset = used_by(replica);
    ASSERT_EQ(subset.size(), 8U);
    if (what == std::string("draining")) {
      for (int i = 0; i < 7000; ++i) {
        if (subset.contains(numbered(i).address)) {
          replica.handle(replica.now, change(numbered(i), EndpointState::kDraining));
        }
      }
    }
    int bad = 0, well = 0;
    for (int i = 0; i < 400; ++i) {
      replica.now += 0.01;
      const std::string id = what + std::to_string(i);
      const std::vector<SendAttempt> sent = only<SendAttempt>(replica.request(id));
      ASSERT_EQ(sent.size(), 1U) << what;
      const bool in_subset = subset.contains(sent[0].endpoint);
      (in_subset ? bad : well) += 1;
      if (what == std::string("silent") && in_subset) continue;
      if (in_subset && !only<SendAttempt>(replica.end_attempt(id, Outcome::kServerError)).empty()) {
        replica.end_attempt(id, Outcome::kSuccess, 1);
      } else {
        replica.end_attempt(id, Outcome::kSuccess);
      }
    }
    EXPECT_LE(bad, what == std::string("draining") ? 0 : 60) << what;
    EXPECT_GE(well, 340) << what;
  }
}

// Looks at random would miss the only server that may get the repeat.
TEST(EndpointScale, KeyedRetryFindsOnlyOtherEndpointOfItsCellOrZone) {
  for (const DedupScope scope : {DedupScope::kCell, DedupScope::kZone}) {
    EndpointUpdate m = fleet(7000);
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t i = 0; i < m.endpoints.size(); ++i) {
      order.emplace_back(support::hash_text(m.endpoints[i].address), i);
    }
    std::sort(order.begin(), order.end());
    // TestReplica 0 uses the first eight; one of them shares its cell and zone with one other, half the ring
    // away.
    Endpoint& first = m.endpoints[order[0].second];
    Endpoint& other = m.endpoints[order[3500].second];
    first.cell = other.cell = first.zone = other.zone = 9999;
    TestReplica replica(many_replicas(make_request_class(Idempotency::kIdempotencyKey, scope)));
    replica.handle(0, m);
    int repeats = 0;
    for (int i = 0; i < 400; ++i) {
      replica.now += 0.5;
      const std::string id = std::to_string(i);
      const std::vector<SendAttempt> sent = only<SendAttempt>(replica.request(id));
      ASSERT_EQ(sent.size(), 1U);
      if (sent[0].endpoint != first.address) {
        replica.end_attempt(id, Outcome::kSuccess);
        continue;
      }
      const std::vector<SendAttempt> again =
          only<SendAttempt>(replica.end_attempt(id, Outcome::kConnectionReset));
      if (again.empty()) continue;  // no attempt left over
      EXPECT_EQ(again[0].endpoint, other.address);
      replica.end_attempt(id, Outcome::kSuccess, 1);
      ++repeats;
    }
    EXPECT_GE(repeats, 10);
  }
}

// One of many can be used: each call looks at some, and the next ones at those that follow.
TEST(EndpointScale, OnlyWarmEndpointIsFoundByLaterRequests) {
  Settings s = many_replicas();
  s.slow_start_capacity = 0.001;
  s.slow_start_duration = 1e9;
  TestReplica replica(s);
  EndpointUpdate m = fleet(7000);
  for (std::size_t i = 1; i < m.endpoints.size(); ++i) m.endpoints[i].started_at = 1;
  replica.handle(1, m);
  int calls = 0, served = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now += 0.01;
    const std::string id = std::to_string(i);
    const std::uint64_t before = examined(replica);
    const std::vector<SendAttempt> sent = only<SendAttempt>(replica.request(id));
    if (examined(replica) - before >= 4 * kMostExamined)
      ++calls;  // others are turned away before a server is sought
    if (sent.empty()) continue;
    replica.end_attempt(id, Outcome::kSuccess);
    EXPECT_EQ(sent[0].endpoint, m.endpoints[0].address);
    ++served;
  }
  EXPECT_GE(calls, 100);
  EXPECT_GE(served, calls / (7000 / 256 + 2));
}

}  // namespace
}  // namespace asterdrift::balancer
