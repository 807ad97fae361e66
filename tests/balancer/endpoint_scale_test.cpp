// Many servers: what one change and one call cost, in counts, and that the right servers are found.
#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <new>
#include <set>

#include "balancer/endpoint_set.h"
#include "balancer/subset.h"
#include "support/event_stream.h"

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

Endpoint numbered(int n) {
  Endpoint s = server(n, n % 3, n % 500);
  s.address += ".fleet.internal:8080";
  return s;
}

EndpointUpdate fleet(int count) {
  EndpointUpdate m;
  for (int i = 0; i < count; ++i) m.endpoints.push_back(numbered(i));
  return m;
}

EndpointUpdate change(Endpoint s, EndpointState state = EndpointState::kReady) {
  s.state = state;
  return {EndpointUpdate::Form::kIncremental, {s}};
}

Settings many_replicas(RequestClass c = class_of(Idempotency::kIdempotent), int replicas = 2000) {
  Settings s = basic_settings(c);
  s.replica_count = replicas;
  s.tier = 1;
  return s;
}

std::uint64_t examined(const TestReplica& replica) {
  return replica.balancer.endpoints(replica.now).examined;
}

// The digests are those of a balancer that examines every endpoint: it had no indexes yet. They cover the log
// lines too; with the wording of that time the digests are the ones recorded then.
TEST(EndpointScale, DecisionsOfSmallFleetsAreWhatTheyWere) {
  const std::map<std::size_t, std::uint64_t> before = {
      {7, 0xd521f1c56395b2adU}, {20, 0xdb595e1d83a5a9d5U}, {64, 0x74fd6b5fbbef9f5fU}};
  for (const auto& [servers, digest] : before) {
    std::uint64_t all = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      EventStream stream(seed, servers);
      stream.run(4000);
      EXPECT_GT(stream.repeats(), 0U);
      all = all * 31 + stream.digest();
    }
    EXPECT_EQ(all, digest) << servers << " servers: " << std::hex << all;
  }
}

TEST(EndpointScale, AChangeCostsTheSameHoweverManyServersThereAre) {
  for (const int replicas : {2000, 4}) {
    for (const int servers : {700, 7000, 27000}) {
      TestReplica replica(many_replicas(class_of(Idempotency::kIdempotent), replicas));
      replica.at(0, fleet(servers));
      for (int i = 0; i < 600; ++i) {
        const std::size_t bytes = allocated;
        const std::uint64_t before = examined(replica);
        replica.at(1 + i, change(numbered(i / 2 * 7919 % servers),
                                 i % 2 == 0 ? EndpointState::kDraining : EndpointState::kReady));
        ASSERT_LE(examined(replica) - before, kMostInOneChange) << servers << " servers, change " << i;
        ASSERT_LE(allocated - bytes, 20000U) << servers << " servers, change " << i;
      }
    }
  }
}

TEST(EndpointScale, ACallLooksAtABoundedNumberOfServersAlsoWhereNoneIsWell) {
  for (const int replicas : {2000, 4}) {
    for (const int servers : {700, 7000, 27000}) {
      Settings s = many_replicas(class_of(Idempotency::kIdempotencyKey, DedupScope::kZone), replicas);
      s.tier = replicas == 4 ? 1 : 0;
      s.slow_start_capacity = 0.01;
      s.slow_start_duration = 1e6;
      TestReplica replica(s);
      EndpointUpdate cold = fleet(servers);
      for (Endpoint& told : cold.endpoints) told.started_at = 1;
      replica.at(1, cold);
      for (int i = 0; i < 500; ++i) {
        replica.now += 0.01;
        const std::string id = std::to_string(i);
        std::uint64_t before = examined(replica);
        std::vector<Action> actions = replica.request(id);
        ASSERT_LE(examined(replica) - before, kMostInOneCall);
        for (int attempt = 0; !all<SendAttempt>(actions).empty(); ++attempt) {
          replica.now += 0.001;
          before = examined(replica);
          actions = replica.end(id, Outcome::kConnectionReset, attempt);
          ASSERT_LE(examined(replica) - before, kMostInOneCall);
        }
      }
    }
  }
}

TEST(EndpointScale, WhatIsSeenOfTheServersCostsTheSameHoweverManyThereAre) {
  TestReplica replica(many_replicas());
  replica.at(0, fleet(27000));
  for (int i = 0; i < 400; ++i) {
    replica.now += 0.01;
    replica.request(std::to_string(i));
    replica.end(std::to_string(i), Outcome::kSuccess);
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
    for (const SendAttempt& s : all<SendAttempt>(replica.request(id))) out.insert(s.endpoint);
    replica.end(id, Outcome::kSuccess);
  }
  return out;
}

TEST(EndpointScale, OthersServeWhereTheSubsetIsIllOrSilentOrDrains) {
  for (const char* what : {"ill", "silent", "draining"}) {
    TestReplica replica(many_replicas());
    replica.at(0, fleet(7000));
    const std::set<std::string> subset = used_by(replica);
    ASSERT_EQ(subset.size(), 8U);
    if (what == std::string("draining")) {
      for (int i = 0; i < 7000; ++i) {
        if (subset.contains(numbered(i).address)) {
          replica.at(replica.now, change(numbered(i), EndpointState::kDraining));
        }
      }
    }
    int bad = 0, well = 0;
    for (int i = 0; i < 400; ++i) {
      replica.now += 0.01;
      const std::string id = what + std::to_string(i);
      const std::vector<SendAttempt> sent = all<SendAttempt>(replica.request(id));
      ASSERT_EQ(sent.size(), 1U) << what;
      const bool in_subset = subset.contains(sent[0].endpoint);
      (in_subset ? bad : well) += 1;
      if (what == std::string("silent") && in_subset) continue;
      if (in_subset && !all<SendAttempt>(replica.end(id, Outcome::kServerError)).empty()) {
        replica.end(id, Outcome::kSuccess, 1);
      } else {
        replica.end(id, Outcome::kSuccess);
      }
    }
    EXPECT_LE(bad, what == std::string("draining") ? 0 : 60) << what;
    EXPECT_GE(well, 340) << what;
  }
}

// Looks at random would miss the only server that may get the repeat.
TEST(EndpointScale, AKeyedRepeatFindsTheOneServerOfItsCellOrZone) {
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
    TestReplica replica(many_replicas(class_of(Idempotency::kIdempotencyKey, scope)));
    replica.at(0, m);
    int repeats = 0;
    for (int i = 0; i < 400; ++i) {
      replica.now += 0.5;
      const std::string id = std::to_string(i);
      const std::vector<SendAttempt> sent = all<SendAttempt>(replica.request(id));
      ASSERT_EQ(sent.size(), 1U);
      if (sent[0].endpoint != first.address) {
        replica.end(id, Outcome::kSuccess);
        continue;
      }
      const std::vector<SendAttempt> again = all<SendAttempt>(replica.end(id, Outcome::kConnectionReset));
      if (again.empty()) continue;  // no attempt left over
      EXPECT_EQ(again[0].endpoint, other.address);
      replica.end(id, Outcome::kSuccess, 1);
      ++repeats;
    }
    EXPECT_GE(repeats, 10);
  }
}

// One of many can be used: each call looks at some, and the next ones at those that follow.
TEST(EndpointScale, TheOneServerThatIsWarmIsFoundByLaterCalls) {
  Settings s = many_replicas();
  s.slow_start_capacity = 0.001;
  s.slow_start_duration = 1e9;
  TestReplica replica(s);
  EndpointUpdate m = fleet(7000);
  for (std::size_t i = 1; i < m.endpoints.size(); ++i) m.endpoints[i].started_at = 1;
  replica.at(1, m);
  int calls = 0, served = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now += 0.01;
    const std::string id = std::to_string(i);
    const std::uint64_t before = examined(replica);
    const std::vector<SendAttempt> sent = all<SendAttempt>(replica.request(id));
    if (examined(replica) - before >= 4 * kMostExamined)
      ++calls;  // others are turned away before a server is sought
    if (sent.empty()) continue;
    replica.end(id, Outcome::kSuccess);
    EXPECT_EQ(sent[0].endpoint, m.endpoints[0].address);
    ++served;
  }
  EXPECT_GE(calls, 100);
  EXPECT_GE(served, calls / (7000 / 256 + 2));
}

// ---------------------------------------------------------------- against a plain list

struct PlainList {
  std::map<std::string, Endpoint> known;

  void learn(const EndpointUpdate& update) {
    if (update.form == EndpointUpdate::Form::kSnapshot) known.clear();
    for (const Endpoint& s : update.endpoints) {
      known[s.address] = s;
      if (s.state == EndpointState::kRemoved) known.erase(s.address);
    }
  }

  template <class Fits>
  std::vector<std::string> ready(const Fits& fits) const {
    std::vector<std::pair<std::uint64_t, std::string>> order;
    for (const auto& [address, s] : known) {
      if (s.state == EndpointState::kReady && fits(s))
        order.emplace_back(support::hash_text(address), address);
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> out;
    out.reserve(order.size());
    for (const auto& [hash, address] : order) out.push_back(address);
    return out;
  }
};

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

class Changes {
 public:
  explicit Changes(std::uint64_t seed) : random_(seed) {}

  // A few, sometimes many, sometimes all. Two names have the same upper half of their hash.
  EndpointUpdate next(const PlainList& list) {
    EndpointUpdate update;
    update.form = EndpointUpdate::Form::kIncremental;
    const std::size_t kind = random_.below(40);
    const std::size_t count = kind == 0 ? 400 : kind < 3 ? 90 : 1 + random_.below(4);
    for (std::size_t i = 0; i < count; ++i) {
      static const int kAlike[] = {59298, 69998};
      Endpoint s =
          server(random_.below(50) == 0 ? kAlike[random_.below(2)] : static_cast<int>(random_.below(900)));
      s.zone = static_cast<int>(random_.below(3));
      s.cell = static_cast<int>(random_.below(12)) - 1;
      s.weight = random_.below(3) == 0 ? 0 : 0.5 + random_.unit();
      s.started_at = static_cast<double>(random_.below(2));
      const std::size_t state = random_.below(grow_ ? 8 : 3);
      s.state = state == 0   ? EndpointState::kRemoved
                : state == 1 ? EndpointState::kDraining
                             : EndpointState::kReady;
      update.endpoints.push_back(s);
    }
    if (random_.below(60) == 0) grow_ = !grow_;
    if (random_.below(30) == 0) {
      update.form = EndpointUpdate::Form::kSnapshot;
      for (const auto& [address, s] : list.known) {
        if (random_.below(20) > 0) update.endpoints.push_back(s);
      }
    }
    return update;
  }

 private:
  support::Random random_;
  bool grow_ = true;
};

TEST(EndpointScale, IndexesAndSubsetMatchAPlainList) {
  std::size_t most = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Settings s = many_replicas(class_of(Idempotency::kIdempotent), seed % 2 == 0 ? 90 : 25);
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

TEST(EndpointScale, ASubsetThatIsLargeIsLookedAtEvenly) {
  EndpointSet endpoints(0);
  Subset subset;
  support::Random random(1);
  endpoints.apply(fleet(3000), 0, 0, random);
  Settings s = many_replicas(class_of(Idempotency::kIdempotent), 1);
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

TEST(EndpointScale, LooksThatFollowEachOtherSeeAll) {
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

TEST(EndpointScale, NoCallGoesToAServerThatDrainsOrIsGone) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Settings s =
        many_replicas(class_of(Idempotency::kIdempotencyKey, DedupScope::kCell), seed % 2 == 0 ? 300 : 5);
    s.cross_zone_cost = seed > 2 ? 0.02 : 0;
    TestReplica replica(s, seed);
    PlainList list;
    Changes changes(seed);
    support::Random random(seed);
    std::size_t sends = 0;
    const auto check = [&](const std::vector<Action>& actions) {
      for (const SendAttempt& send : all<SendAttempt>(actions)) {
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
        replica.at(replica.now, update);
      }
      check(replica.request(std::to_string(step)));
      const std::string late = std::to_string(step - static_cast<int>(random.below(30)));
      const Outcome outcome = random.below(3) == 0 ? Outcome::kConnectionReset : Outcome::kSuccess;
      for (int attempt = 0; attempt < 3; ++attempt) check(replica.end(late, outcome, attempt, 0.1));
    }
    EXPECT_GT(sends, 3000U);
  }
}

}  // namespace
}  // namespace asterdrift::balancer
