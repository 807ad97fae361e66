#include "node/process/resource_limits.h"

#include <algorithm>

#include "node/admin/admin_server.h"

namespace asterdrift::node::process {
namespace {

// Descriptors that are reserved for the event loop, standard streams, discovery and the admin server, with
// headroom. If the node's processes share a small limit, fewer are reserved, down to the minimum.
constexpr std::size_t kReservedDescriptors = 40, kMinReservedDescriptors = 20;
constexpr std::size_t kMinAdminConnections = 2;
constexpr std::size_t kBodyMemoryDivisor = 3;  // bodies may take a third of the node's memory
constexpr std::size_t kBytesPerMb = 1024UL * 1024;

}  // namespace

ResourceLimits::ResourceLimits(const config::NodeConfig& config, std::size_t processes)
    : processes(processes) {
  const std::size_t descriptors = config.max_sockets / processes;
  const std::size_t reserved =
      std::max(kMinReservedDescriptors, std::min(kReservedDescriptors, descriptors * 5 / 8));
  const std::size_t connections = descriptors > reserved ? descriptors - reserved : 1;
  upstream_connections = std::max<std::size_t>(connections * 9 / 20, 1);
  downstream_connections = std::max<std::size_t>(connections * 11 / 20, 1);
  admin_connections = std::max(admin::AdminServer::kMaxConnections / processes, kMinAdminConnections);
  body_bytes = config.memory_mb * kBytesPerMb / kBodyMemoryDivisor / processes;
}

}  // namespace asterdrift::node::process
