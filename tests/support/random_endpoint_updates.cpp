#include "support/random_endpoint_updates.h"

#include <algorithm>
#include <utility>

namespace asterdrift::balancer {
namespace {

constexpr int kFleetZones = 3;
constexpr int kFleetCells = 500;
// Numbers of the endpoints whose address hashes have the same upper half.
constexpr int kNumbersWithSimilarHashes[] = {59298, 69998};

}  // namespace

Endpoint make_fleet_endpoint(int number) {
  Endpoint endpoint = make_endpoint(number, number % kFleetZones, number % kFleetCells);
  endpoint.address += ".fleet.internal:8080";
  return endpoint;
}

EndpointUpdate make_fleet_snapshot(int count) {
  EndpointUpdate snapshot;
  for (int i = 0; i < count; ++i) snapshot.endpoints.push_back(make_fleet_endpoint(i));
  return snapshot;
}

Settings settings_for_many_replicas(const RequestClass& request_class, int replicas) {
  Settings settings = basic_settings(request_class);
  settings.replica_count = replicas;
  settings.tier = 1;
  return settings;
}

void ReferenceEndpointList::apply(const EndpointUpdate& update) {
  if (update.form == EndpointUpdate::Form::kSnapshot) endpoints_.clear();
  for (const Endpoint& endpoint : update.endpoints) {
    endpoints_[endpoint.address] = endpoint;
    if (endpoint.state == EndpointState::kRemoved) endpoints_.erase(endpoint.address);
  }
}

std::vector<std::string> ReferenceEndpointList::ready_addresses(
    const std::function<bool(const Endpoint&)>& matches) const {
  std::vector<std::pair<std::uint64_t, std::string>> by_hash;
  for (const auto& [address, endpoint] : endpoints_) {
    if (endpoint.state == EndpointState::kReady && matches(endpoint))
      by_hash.emplace_back(support::hash_text(address), address);
  }
  std::sort(by_hash.begin(), by_hash.end());
  std::vector<std::string> addresses;
  addresses.reserve(by_hash.size());
  for (const auto& [hash, address] : by_hash) addresses.push_back(address);
  return addresses;
}

Endpoint RandomEndpointUpdates::random_endpoint() {
  const bool similar_hash = random_.below(50) == 0;
  Endpoint endpoint = make_endpoint(similar_hash ? kNumbersWithSimilarHashes[random_.below(2)]
                                                 : static_cast<int>(random_.below(900)));
  endpoint.zone = static_cast<int>(random_.below(3));
  endpoint.cell = static_cast<int>(random_.below(12)) - 1;
  endpoint.weight = random_.below(3) == 0 ? 0 : 0.5 + random_.unit();
  endpoint.started_at = static_cast<double>(random_.below(2));
  const std::size_t state = random_.below(growing_ ? 8 : 3);
  endpoint.state = state == 0   ? EndpointState::kRemoved
                   : state == 1 ? EndpointState::kDraining
                                : EndpointState::kReady;
  return endpoint;
}

EndpointUpdate RandomEndpointUpdates::next(const ReferenceEndpointList& list) {
  EndpointUpdate update;
  update.form = EndpointUpdate::Form::kIncremental;
  const std::size_t size = random_.below(40);
  const std::size_t count = size == 0 ? 400 : size < 3 ? 90 : 1 + random_.below(4);
  for (std::size_t i = 0; i < count; ++i) update.endpoints.push_back(random_endpoint());
  if (random_.below(60) == 0) growing_ = !growing_;
  if (random_.below(30) == 0) {
    update.form = EndpointUpdate::Form::kSnapshot;
    for (const auto& [address, endpoint] : list.endpoints()) {
      if (random_.below(20) > 0) update.endpoints.push_back(endpoint);
    }
  }
  return update;
}

}  // namespace asterdrift::balancer
