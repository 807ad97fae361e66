// Large fleets, random endpoint updates, and a reference list of the endpoints that result from the updates.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "support/balancer_fixture.h"
#include "support/random.h"

namespace asterdrift::balancer {

// An endpoint of a large fleet, in one of 3 zones and 500 cells.
Endpoint make_fleet_endpoint(int number);

// A snapshot that lists the fleet endpoints 0 to count - 1.
EndpointUpdate make_fleet_snapshot(int count);

// Settings of one of many replicas, beyond the first tier.
Settings settings_for_many_replicas(
    const RequestClass& request_class = make_request_class(Idempotency::kIdempotent), int replicas = 2000);

// The endpoints that are listed after a sequence of updates, without indexes: the reference for EndpointSet.
class ReferenceEndpointList {
 public:
  void apply(const EndpointUpdate& update);

  // The listed endpoints by address.
  const std::map<std::string, Endpoint>& endpoints() const { return endpoints_; }

  // Addresses of the ready endpoints that match, ordered by the hashes of the addresses.
  std::vector<std::string> ready_addresses(const std::function<bool(const Endpoint&)>& matches) const;

 private:
  std::map<std::string, Endpoint> endpoints_;
};

// Generates random updates: mostly of a few endpoints, sometimes of many, sometimes a snapshot. The fleet
// grows and shrinks in turn. Two of the addresses have hashes with the same upper half.
class RandomEndpointUpdates {
 public:
  explicit RandomEndpointUpdates(std::uint64_t seed) : random_(seed) {}

  EndpointUpdate next(const ReferenceEndpointList& list);

 private:
  Endpoint random_endpoint();

  support::Random random_;
  bool growing_ = true;
};

}  // namespace asterdrift::balancer
