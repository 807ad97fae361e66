// EndpointSet: slots of removed endpoints are released and reused.
#include "balancer/endpoint_set.h"

#include <gtest/gtest.h>

namespace asterdrift::balancer {
namespace {

Endpoint endpoint(int n, EndpointState state = EndpointState::kReady) {
  Endpoint s;
  s.address = "s" + std::to_string(n);
  s.state = state;
  return s;
}

// Endpoints are replaced by others under new addresses all day.
TEST(EndpointSet, ReusesSlotsOfRemovedEndpoints) {
  EndpointSet endpoints;
  support::Random random(1);
  for (int i = 0; i < 1000; ++i) {
    endpoints.apply(endpoint(i), i, 0, random);
    if (i >= 3) endpoints.apply(endpoint(i - 3, EndpointState::kRemoved), i, 0, random);
    endpoints.finish_update();
  }
  EXPECT_LE(endpoints.size(), 5U);
  for (int i = 1000; i < 2000; ++i) {  // the same with whole lists
    endpoints.apply({EndpointUpdate::Form::kSnapshot, {endpoint(i)}}, i, 0, random);
  }
  EXPECT_LE(endpoints.size(), 5U);
}

// An attempt that ends late must not be counted for an endpoint that has nothing to do with it.
TEST(EndpointSet, DoesNotReuseSlotWithRequestsInFlight) {
  EndpointSet endpoints;
  support::Random random(1);
  endpoints.apply(endpoint(0), 0, 0, random);
  endpoints[0].in_flight = 1;
  endpoints.apply(endpoint(0, EndpointState::kRemoved), 1, 0, random);
  endpoints.finish_update();
  endpoints.apply(endpoint(1), 2, 0, random);
  EXPECT_EQ(endpoints[0].advertised.address, "s0");
  EXPECT_EQ(endpoints[1].advertised.address, "s1");
  endpoints[0].in_flight = 0;
  endpoints.finish_update();
  endpoints.apply(endpoint(2), 3, 0, random);
  EXPECT_EQ(endpoints[0].advertised.address, "s2");
  EXPECT_EQ(endpoints.size(), 2U);
}

}  // namespace
}  // namespace asterdrift::balancer
