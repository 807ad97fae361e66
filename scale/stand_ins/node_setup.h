// Configuration of a simulated or real node in benchmarks and guards.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "asterdrift/balancer/balancer.h"

namespace asterdrift::scale {

// When a node starts to watch discovery for endpoint lists.
enum class ListDelivery {
  kPushed,     // the node watches from its start
  kSubscribed  // when the balancer requests a watch
};

// The settings in which the nodes of benchmarks and guards differ; all others are the same for each node.
struct NodeSetup {
  int discovery_port = 0;
  std::size_t replica_index = 0;
  std::size_t replicas = 1;
  ListDelivery list_delivery = ListDelivery::kSubscribed;
  std::uint64_t seed = 1;
  int tier = 1;
  int memory_mb = 192;
};

// Setup of one of `replicas` replicas, with a seed derived from its index.
NodeSetup replica_setup(int discovery_port, std::size_t replica_index, std::size_t replicas,
                        ListDelivery list_delivery);

// The text of the node's configuration file.
std::string config_text(const NodeSetup& setup);

// The settings of the node's balancer.
balancer::Settings balancer_settings(const NodeSetup& setup);

}  // namespace asterdrift::scale
