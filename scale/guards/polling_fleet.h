// One stand-in discovery and simulated nodes in front of it, all on one thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "scale/stand_ins/node_setup.h"
#include "scale/stand_ins/simulated_node.h"
#include "scale/stand_ins/stand_in_discovery.h"

namespace asterdrift::scale {

class PollingFleet {
 public:
  // Starts all nodes, and returns when each has the list.
  PollingFleet(std::size_t servers, std::size_t nodes, ListDelivery list_delivery);

  // Handles events until the condition holds. The limit only ends a test that would hang: throws
  // test_support::TimeoutError.
  void wait_until(const std::function<bool()>& condition);
  // The same until all nodes have discovery's latest list.
  void wait_until_current();

  // Watches that have failed, of all nodes.
  std::uint64_t failed_watches() const;
  StandInDiscovery& discovery() { return discovery_; }
  const std::vector<std::unique_ptr<SimulatedNode>>& nodes() const { return nodes_; }

 private:
  boost::asio::io_context io_{1};
  StandInDiscovery discovery_;
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
};

}  // namespace asterdrift::scale
