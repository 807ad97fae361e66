// The fraction of the node's limits that applies to one of its processes.
#pragma once

#include <cstddef>

#include "node/config/node_config.h"

namespace asterdrift::node::process {

// Divides the configured sockets and memory among the processes, and among their uses.
struct ResourceLimits {
  // processes: how many share the node's limits, this one included.
  ResourceLimits(const config::NodeConfig& config, std::size_t processes);

  std::size_t processes;
  std::size_t upstream_connections;
  std::size_t downstream_connections;
  std::size_t admin_connections;
  std::size_t body_bytes;  // for bodies in both directions
};

}  // namespace asterdrift::node::process
