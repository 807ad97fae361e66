// EndpointSet: slots of removed endpoints are released and reused.
#include "balancer/endpoint_set.h"

#include <gtest/gtest.h>

#include "support/balancer_fixture.h"

namespace asterdrift::balancer {
namespace {

Endpoint make_removed_endpoint(int number) {
  Endpoint endpoint = make_endpoint(number);
  endpoint.state = EndpointState::kRemoved;
  return endpoint;
}

// Endpoints are continually replaced by endpoints with new addresses, so slots must be reused.
TEST(EndpointSet, ReusesSlotsOfRemovedEndpoints) {
  EndpointSet endpoints;
  support::Random random(1);
  for (int i = 0; i < 1000; ++i) {
    endpoints.apply(make_endpoint(i), i, 0, random);
    if (i >= 3) endpoints.apply(make_removed_endpoint(i - 3), i, 0, random);
    endpoints.finish_update();
  }
  EXPECT_LE(endpoints.size(), 5U);
  for (int i = 1000; i < 2000; ++i) {  // likewise with snapshots
    endpoints.apply({EndpointUpdate::Form::kSnapshot, {make_endpoint(i)}}, i, 0, random);
  }
  EXPECT_LE(endpoints.size(), 5U);
}

// The outcome of an attempt that ends after its endpoint was removed must not be counted for another
// endpoint.
TEST(EndpointSet, DoesNotReuseSlotWithRequestsInFlight) {
  EndpointSet endpoints;
  support::Random random(1);
  endpoints.apply(make_endpoint(0), 0, 0, random);
  endpoints[0].in_flight = 1;
  endpoints.apply(make_removed_endpoint(0), 1, 0, random);
  endpoints.finish_update();
  endpoints.apply(make_endpoint(1), 2, 0, random);
  EXPECT_EQ(endpoints[0].advertised.address, "s0");
  EXPECT_EQ(endpoints[1].advertised.address, "s1");
  endpoints[0].in_flight = 0;
  endpoints.finish_update();
  endpoints.apply(make_endpoint(2), 3, 0, random);
  EXPECT_EQ(endpoints[0].advertised.address, "s2");
  EXPECT_EQ(endpoints.size(), 2U);
}

}  // namespace
}  // namespace asterdrift::balancer
