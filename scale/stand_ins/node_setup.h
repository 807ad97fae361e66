// Configuration of a node in the scale tests, simulated or real.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "asterdrift/balancer/balancer.h"

namespace asterdrift::scale {

// How a node gets its endpoint lists.
enum class ListDelivery {
  kPushed,     // watches by itself
  kSubscribed  // watches once the balancer requests it
};

// What distinguishes the nodes of the scale tests; all else is the same for each.
struct NodeSetup {
  int discovery_port = 0;
  std::size_t replica_index = 0;
  std::size_t replicas = 1;
  ListDelivery list_delivery = ListDelivery::kSubscribed;
  std::uint64_t seed = 1;
  int tier = 1;
  int memory_mb = 192;
};

// A node that is one of `replicas`, with a seed of its own.
NodeSetup replica_setup(int discovery_port, std::size_t replica_index, std::size_t replicas,
                        ListDelivery list_delivery);

// The node's configuration file.
std::string config_text(const NodeSetup& setup);

// The settings that its balancer gets.
balancer::Settings balancer_settings(const NodeSetup& setup);

}  // namespace asterdrift::scale
