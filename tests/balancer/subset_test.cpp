// Subset: which endpoints a replica uses.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

TEST(Subset, CrowdedZoneSpillsOverToOtherZones) {
  const auto far_share = [](double near_answer) {
    Settings s = basic_settings();
    s.cross_zone_cost = 0.01;
    TestReplica replica(s);
    EndpointUpdate m;
    for (int i = 0; i < 12; ++i) m.endpoints.push_back(make_endpoint(i, i % 2));
    replica.handle(0, m);
    int far = 0;
    for (int i = 0; i < 600; ++i) {
      replica.now = i * 0.5;
      const std::string id = std::to_string(i);
      for (const SendAttempt& send : only<SendAttempt>(replica.request(id))) {
        const bool crossed = (send.endpoint.back() - '0') % 2 == 1;
        far += crossed ? 1 : 0;
        replica.end_attempt(id, Outcome::kSuccess, 0, crossed ? 0.12 : near_answer);
      }
    }
    return far / 600.0;
  };
  EXPECT_LT(far_share(0.1), 0.1) << "crossing has a price; chance in the answer times must not pay it";
  EXPECT_GT(far_share(0.5), 0.4);
}

// The one small server of a zone got all calls of its zone's replica while large ones elsewhere idled.
TEST(Subset, ZoneWithFewEndpointsIsNotPreferred) {
  const auto local_share = [](int local) {
    Settings s = basic_settings();
    s.cross_zone_cost = 0.01;
    TestReplica replica(s);
    EndpointUpdate m;
    for (int i = 0; i < 9; ++i) m.endpoints.push_back(make_endpoint(i, i < local ? 0 : 1));
    replica.handle(0, m);
    int near = 0;
    for (int i = 0; i < 600; ++i) {
      replica.now = i * 0.5;
      const std::string id = std::to_string(i);
      for (const SendAttempt& send : only<SendAttempt>(replica.request(id))) {
        near += send.endpoint.back() - '0' < local ? 1 : 0;
        replica.end_attempt(id, Outcome::kSuccess, 0, 0.1);
      }
    }
    return near / 600.0;
  };
  EXPECT_LT(local_share(1), 0.3);
  EXPECT_LT(local_share(2), 0.4);
  EXPECT_GT(local_share(3), 0.9);
}

TEST(Subset, SubsetsCoverEndpointsEvenly) {
  for (std::size_t replicas = 1; replicas <= 40; ++replicas) {
    for (std::size_t servers = 1; servers <= 45; servers += 4) {
      for (const std::size_t size : {3U, 8U}) {
        std::vector<int> uses(servers, 0);
        for (std::size_t i = 0; i < replicas; ++i) {
          const auto subset = subset_of(i, replicas, servers, size);
          EXPECT_EQ(std::set<std::size_t>(subset.begin(), subset.end()).size(), std::min(size, servers));
          for (const std::size_t at : subset) ++uses[at];
        }
        const auto [least, most] = std::minmax_element(uses.begin(), uses.end());
        // Starts of one replica or of evenly spread ones: no server is used by over one replica more than
        // another.
        EXPECT_LE(*most - *least, 1) << replicas << " copies, " << servers << " servers, size " << size;
      }
    }
  }
}

TEST(Subset, ChangesLittleWhenOneEndpointIsRemoved) {
  for (const int replicas : {3, 7, 12}) {
    for (int index = 0; index < replicas; ++index) {
      Settings s = basic_settings();
      s.replica_index = index;
      s.replica_count = replicas;
      const auto used = [&](bool without_one) {
        TestReplica replica(s);
        EndpointUpdate m = make_snapshot(24);
        if (without_one) m.endpoints.erase(m.endpoints.begin() + 5);
        replica.handle(0, m);
        std::set<std::string> out;
        for (int i = 0; i < 400; ++i) {
          const std::string id = std::to_string(i);
          for (const SendAttempt& send : only<SendAttempt>(replica.request(id))) out.insert(send.endpoint);
          replica.end_attempt(id, Outcome::kSuccess);
        }
        return out;
      };
      const auto before = used(false);
      const auto after = used(true);
      std::vector<std::string> kept;
      std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                            std::back_inserter(kept));
      EXPECT_GE(kept.size() + 2, before.size());
    }
  }
}

// With a subset of fixed size a lone replica would leave most of a large tier without work.
TEST(Subset, FewReplicasReachAllEndpoints) {
  std::set<std::string> used;
  for (int index = 0; index < 2; ++index) {
    Settings s = basic_settings();
    s.replica_index = index;
    s.replica_count = 2;
    TestReplica replica(s);
    replica.handle(0, make_snapshot(40));
    for (int i = 0; i < 200; ++i) {
      for (const SendAttempt& send : only<SendAttempt>(replica.request(std::to_string(i))))
        used.insert(send.endpoint);
    }
  }
  EXPECT_EQ(used.size(), 40U);
}
}  // namespace
}  // namespace asterdrift::balancer
