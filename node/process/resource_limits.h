// The part of the node's limits that applies to one of its processes.
#pragma once

#include <cstddef>

#include "node/config/node_config.h"

namespace asterdrift::node::process {

// Divides the configured sockets and memory among the node's processes, and each process's part among its
// uses.
struct ResourceLimits {
  // processes: how many processes share the node's limits, including this one.
  ResourceLimits(const config::NodeConfig& config, std::size_t processes);

  std::size_t processes;
  std::size_t upstream_connections;
  std::size_t downstream_connections;
  std::size_t admin_connections;
  std::size_t body_bytes;  // the memory for request and response bodies together
};

}  // namespace asterdrift::node::process
