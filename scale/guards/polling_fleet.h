// A stand-in discovery and the simulated nodes that poll it, all on one thread.
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
  // Starts all nodes, and returns when each of them has applied the endpoint list.
  PollingFleet(std::size_t servers, std::size_t nodes, ListDelivery list_delivery);

  // Handles events until the condition holds. Throws test_support::TimeoutError after 60 s: that limit only
  // ends a test that would otherwise hang.
  void wait_until(const std::function<bool()>& condition);
  // Handles events until all nodes have applied discovery's latest list. Throws like wait_until().
  void wait_until_all_have_latest_list();

  // The number of failed watches of all nodes so far.
  std::uint64_t failed_watches() const;
  StandInDiscovery& discovery() { return discovery_; }
  const std::vector<std::unique_ptr<SimulatedNode>>& nodes() const { return nodes_; }

 private:
  boost::asio::io_context io_{1};
  StandInDiscovery discovery_;
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
};

}  // namespace asterdrift::scale
