// Large fleets: the cost of one update and of one request, in endpoint records read and bytes allocated, and
// the endpoints that requests are sent to.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <new>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "balancer/endpoint_set.h"
#include "balancer/subset.h"
#include "support/random_endpoint_updates.h"
#include "support/random_event_stream.h"

namespace {
std::size_t allocated_bytes = 0;  // bytes that the whole program has allocated since its start
}

// Not inlined, because GCC reports the inlined std::malloc() and std::free() as mismatched with the
// operators.
[[gnu::noinline]] void* operator new(std::size_t bytes) {
  allocated_bytes += bytes;
  if (void* memory = std::malloc(bytes)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void* operator new(std::size_t bytes, const std::nothrow_t&) noexcept {
  allocated_bytes += bytes;
  return std::malloc(bytes);
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace asterdrift::balancer {
namespace {

// A request reads up to 7 x kMaxExaminedEndpoints records to find an endpoint, and some more records to count
// itself in flight.
constexpr std::size_t kMaxRecordsReadByRequest = 600;
// An update reads records in five indexes and in a small subset.
constexpr std::size_t kMaxRecordsReadByUpdate = 250;
constexpr std::size_t kMaxBytesAllocatedByUpdate = 20000;

std::uint64_t records_read(const TestReplica& replica) {
  return replica.balancer.endpoint_metrics(replica.now).records_read;
}

// The expected digests are those of a balancer that examines every endpoint. The digests cover log lines too.
TEST(EndpointScale, DecisionsMatchExhaustiveSearchInSmallFleets) {
  const std::map<std::size_t, std::uint64_t> expected_digests = {
      {7, 0xd521f1c56395b2adU}, {20, 0xdb595e1d83a5a9d5U}, {64, 0x74fd6b5fbbef9f5fU}};
  for (const auto& [endpoints, expected_digest] : expected_digests) {
    std::uint64_t digest = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      RandomEventStream stream(seed, endpoints);
      stream.run(4000);
      EXPECT_GT(stream.retries(), 0U);
      digest = digest * 31 + stream.digest();
    }
    EXPECT_EQ(digest, expected_digest) << endpoints << " endpoints: " << std::hex << digest;
  }
}

TEST(EndpointScale, UpdateCostIsIndependentOfFleetSize) {
  for (const int replicas : {2000, 4}) {
    for (const int endpoints : {700, 7000, 27000}) {
      TestReplica replica(settings_for_many_replicas(make_request_class(Idempotency::kIdempotent), replicas));
      replica.handle(0, make_fleet_snapshot(endpoints));
      for (int i = 0; i < 600; ++i) {
        const EndpointState state = i % 2 == 0 ? EndpointState::kDraining : EndpointState::kReady;
        const std::size_t bytes_before = allocated_bytes;
        const std::uint64_t records_read_before = records_read(replica);
        replica.handle(1 + i, make_update(make_fleet_endpoint(i / 2 * 7919 % endpoints), state));
        ASSERT_LE(records_read(replica) - records_read_before, kMaxRecordsReadByUpdate)
            << endpoints << " endpoints, update " << i;
        ASSERT_LE(allocated_bytes - bytes_before, kMaxBytesAllocatedByUpdate)
            << endpoints << " endpoints, update " << i;
      }
    }
  }
}

// A replica whose endpoints have all just started and have hardly any capacity for a long time.
TestReplica replica_with_starting_fleet(int replicas, int endpoints) {
  Settings settings = settings_for_many_replicas(
      make_request_class(Idempotency::kIdempotencyKey, DedupScope::kZone), replicas);
  settings.tier = replicas == 4 ? 1 : 0;
  settings.slow_start_capacity = 0.01;
  settings.slow_start_duration = 1e6;
  TestReplica replica(settings);
  EndpointUpdate snapshot = make_fleet_snapshot(endpoints);
  for (Endpoint& endpoint : snapshot.endpoints) endpoint.started_at = 1;
  replica.handle(1, snapshot);
  return replica;
}

void expect_bounded_search(TestReplica& replica, const std::string& id) {
  std::uint64_t records_read_before = records_read(replica);
  std::vector<Action> actions = replica.request(id);
  ASSERT_LE(records_read(replica) - records_read_before, kMaxRecordsReadByRequest);
  for (int attempt = 0; !actions_of_type<SendAttempt>(actions).empty(); ++attempt) {
    replica.now += 0.001;
    records_read_before = records_read(replica);
    actions = replica.end_attempt(id, Outcome::kConnectionReset, attempt);
    ASSERT_LE(records_read(replica) - records_read_before, kMaxRecordsReadByRequest);
  }
}

TEST(EndpointScale, RequestCostIsBoundedWhileAllEndpointsWarmUp) {
  for (const int replicas : {2000, 4}) {
    for (const int endpoints : {700, 7000, 27000}) {
      TestReplica replica = replica_with_starting_fleet(replicas, endpoints);
      for (int i = 0; i < 500; ++i) {
        replica.now += 0.01;
        expect_bounded_search(replica, std::to_string(i));
        if (HasFatalFailure()) return;
      }
    }
  }
}

TEST(EndpointScale, MetricsCostIsIndependentOfFleetSize) {
  TestReplica replica(settings_for_many_replicas());
  replica.handle(0, make_fleet_snapshot(27000));
  for (int i = 0; i < 400; ++i) {
    replica.now += 0.01;
    replica.request(std::to_string(i));
    replica.end_attempt(std::to_string(i), Outcome::kSuccess);
  }
  const std::uint64_t records_read_before = records_read(replica);
  EXPECT_EQ(replica.balancer.endpoint_metrics(replica.now).listed, 27000U);
  EXPECT_LE(records_read(replica) - records_read_before, 60U);  // twice the subset's 27 endpoints
}

// The addresses of the endpoints that a replica sends requests to while all endpoints are healthy.
std::set<std::string> used_endpoints(TestReplica& replica, int requests = 200) {
  std::set<std::string> used;
  for (int i = 0; i < requests; ++i) {
    replica.now += 0.01;
    const std::string id = "healthy" + std::to_string(i);
    for (const SendAttempt& send : actions_of_type<SendAttempt>(replica.request(id)))
      used.insert(send.endpoint);
    replica.end_attempt(id, Outcome::kSuccess);
  }
  return used;
}

enum class SubsetFault { kFailing, kUnresponsive, kDraining };
const char* const kSubsetFaultNames[] = {"failing", "unresponsive", "draining"};

void drain(TestReplica& replica, const std::set<std::string>& subset) {
  for (int i = 0; i < 7000; ++i) {
    const Endpoint endpoint = make_fleet_endpoint(i);
    if (subset.contains(endpoint.address))
      replica.handle(replica.now, make_update(endpoint, EndpointState::kDraining));
  }
}

// Ends the first attempt of a request as the fault requires, and its retry with success.
void end_request_with_fault(TestReplica& replica, const std::string& id, bool at_faulty_endpoint,
                            SubsetFault fault) {
  if (!at_faulty_endpoint) {
    replica.end_attempt(id, Outcome::kSuccess);
    return;
  }
  if (fault == SubsetFault::kUnresponsive) return;
  const bool retried = !actions_of_type<SendAttempt>(replica.end_attempt(id, Outcome::kServerError)).empty();
  replica.end_attempt(id, Outcome::kSuccess, retried ? 1 : 0);
}

TEST(EndpointScale, OtherEndpointsServeWhenSubsetIsFailingUnresponsiveOrDraining) {
  for (const SubsetFault fault :
       {SubsetFault::kFailing, SubsetFault::kUnresponsive, SubsetFault::kDraining}) {
    const std::string name = kSubsetFaultNames[static_cast<int>(fault)];
    TestReplica replica(settings_for_many_replicas());
    replica.handle(0, make_fleet_snapshot(7000));
    const std::set<std::string> subset = used_endpoints(replica);
    ASSERT_EQ(subset.size(), 8U);
    if (fault == SubsetFault::kDraining) drain(replica, subset);
    int sent_to_subset = 0;
    int sent_to_others = 0;
    for (int i = 0; i < 400; ++i) {
      replica.now += 0.01;
      const std::string id = name + std::to_string(i);
      const std::vector<SendAttempt> sent = actions_of_type<SendAttempt>(replica.request(id));
      ASSERT_EQ(sent.size(), 1U) << name;
      const bool in_subset = subset.contains(sent[0].endpoint);
      ++(in_subset ? sent_to_subset : sent_to_others);
      end_request_with_fault(replica, id, in_subset, fault);
    }
    EXPECT_LE(sent_to_subset, fault == SubsetFault::kDraining ? 0 : 60) << name;
    EXPECT_GE(sent_to_others, 340) << name;
  }
}

// A fleet in which one endpoint of replica 0's subset shares its cell and zone with only one other endpoint.
// The subset is the first eight endpoints in the order of the address hashes; the other endpoint is far from
// the subset in that order.
struct FleetWithIsolatedPair {
  EndpointUpdate snapshot = make_fleet_snapshot(7000);
  std::string address_in_subset, other_address;

  FleetWithIsolatedPair() {
    std::vector<std::pair<std::uint64_t, std::size_t>> by_hash;
    for (std::size_t i = 0; i < snapshot.endpoints.size(); ++i) {
      by_hash.emplace_back(support::hash_text(snapshot.endpoints[i].address), i);
    }
    std::sort(by_hash.begin(), by_hash.end());
    address_in_subset = move_to_cell_and_zone_of_pair(by_hash[0].second);
    other_address = move_to_cell_and_zone_of_pair(by_hash[3500].second);
  }

 private:
  std::string move_to_cell_and_zone_of_pair(std::size_t index) {
    Endpoint& endpoint = snapshot.endpoints[index];
    endpoint.cell = endpoint.zone = 9999;
    return endpoint.address;
  }
};

// Random samples of the fleet would miss the only endpoint that may get the retry.
TEST(EndpointScale, KeyedRetryFindsOnlyOtherEndpointOfItsCellOrZone) {
  for (const DedupScope scope : {DedupScope::kCell, DedupScope::kZone}) {
    const FleetWithIsolatedPair fleet;
    TestReplica replica(settings_for_many_replicas(make_request_class(Idempotency::kIdempotencyKey, scope)));
    replica.handle(0, fleet.snapshot);
    int retries = 0;
    for (int i = 0; i < 400; ++i) {
      replica.now += 0.5;
      const std::string id = std::to_string(i);
      const std::vector<SendAttempt> sent = actions_of_type<SendAttempt>(replica.request(id));
      ASSERT_EQ(sent.size(), 1U);
      if (sent[0].endpoint != fleet.address_in_subset) {
        replica.end_attempt(id, Outcome::kSuccess);
        continue;
      }
      const auto retry = actions_of_type<SendAttempt>(replica.end_attempt(id, Outcome::kConnectionReset));
      if (retry.empty()) continue;  // the retry budget is used up
      EXPECT_EQ(retry[0].endpoint, fleet.other_address);
      replica.end_attempt(id, Outcome::kSuccess, 1);
      ++retries;
    }
    EXPECT_GE(retries, 10);
  }
}

// Only one of many endpoints has warmed up. Each request examines some endpoints and the next request
// continues with the endpoints that follow, until a request finds the warm one.
TEST(EndpointScale, OnlyWarmEndpointIsFoundByLaterRequests) {
  Settings settings = settings_for_many_replicas();
  settings.slow_start_capacity = 0.001;
  settings.slow_start_duration = 1e9;
  TestReplica replica(settings);
  EndpointUpdate snapshot = make_fleet_snapshot(7000);
  for (std::size_t i = 1; i < snapshot.endpoints.size(); ++i) snapshot.endpoints[i].started_at = 1;
  replica.handle(1, snapshot);
  int searches = 0;
  int served = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now += 0.01;
    const std::string id = std::to_string(i);
    const std::uint64_t records_read_before = records_read(replica);
    const std::vector<SendAttempt> sent = actions_of_type<SendAttempt>(replica.request(id));
    // A request that reads fewer records is rejected before the search for an endpoint begins.
    if (records_read(replica) - records_read_before >= 4 * kMaxExaminedEndpoints) ++searches;
    if (sent.empty()) continue;
    replica.end_attempt(id, Outcome::kSuccess);
    EXPECT_EQ(sent[0].endpoint, snapshot.endpoints[0].address);
    ++served;
  }
  EXPECT_GE(searches, 100);
  EXPECT_GE(served, searches / (7000 / 256 + 2));
}

}  // namespace
}  // namespace asterdrift::balancer
