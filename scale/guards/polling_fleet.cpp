// A stand-in discovery and the simulated nodes that poll it, all on one thread.
#include "scale/guards/polling_fleet.h"

#include <algorithm>
#include <chrono>

#include "scale/stand_ins/endpoint_lists.h"
#include "scale/stand_ins/event_loop.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr std::chrono::seconds kWaitLimit{60};

}  // namespace

PollingFleet::PollingFleet(std::size_t servers, std::size_t nodes, ListDelivery list_delivery)
    : discovery_(io_, servers, kUnusedEndpointPort) {
  for (std::size_t index = 0; index < nodes; ++index) {
    const NodeSetup setup = replica_setup(discovery_.port(), index, nodes, list_delivery);
    nodes_.push_back(std::make_unique<SimulatedNode>(io_, config_text(setup)));
  }
  for (const auto& node : nodes_) node->start();
  wait_until_all_have_latest_list();
}

void PollingFleet::wait_until(const std::function<bool()>& condition) {
  const bool holds = run_until(io_, static_cast<Seconds>(kWaitLimit.count()), condition);
  if (!holds) throw test_support::TimeoutError("a condition of the polling fleet", kWaitLimit);
}

void PollingFleet::wait_until_all_have_latest_list() {
  wait_until([&] {
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [&](const auto& node) { return node->list_version() == discovery_.version(); });
  });
}

std::uint64_t PollingFleet::failed_watches() const {
  std::uint64_t failed = 0;
  for (const auto& node : nodes_) failed += node->counts().failed_watches;
  return failed;
}

}  // namespace asterdrift::scale
