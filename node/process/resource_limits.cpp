#include "node/process/resource_limits.h"

#include <algorithm>

#include "node/admin/admin_server.h"

namespace asterdrift::node::process {
namespace {

// Descriptors for the event loop, standard streams, discovery and the admin server, with headroom; and the
// minimum where the node's processes share a small limit.
constexpr std::size_t kOtherSockets = 40, kMinOtherSockets = 20;
constexpr std::size_t kMinAdminConnections = 2;
constexpr std::size_t kBodyMemoryDivisor = 3;  // bodies may take up a third of the memory
constexpr std::size_t kBytesPerMb = 1024UL * 1024;

}  // namespace

ResourceLimits::ResourceLimits(const config::NodeConfig& config, std::size_t processes)
    : processes(processes) {
  const std::size_t all = config.max_sockets / processes;
  const std::size_t other = std::max(kMinOtherSockets, std::min(kOtherSockets, all * 5 / 8));
  const std::size_t sockets = all > other ? all - other : 1;
  upstream_connections = std::max<std::size_t>(sockets * 9 / 20, 1);
  downstream_connections = std::max<std::size_t>(sockets * 11 / 20, 1);
  admin_connections = std::max(admin::AdminServer::kMaxConnections / processes, kMinAdminConnections);
  body_bytes = config.memory_mb * kBytesPerMb / kBodyMemoryDivisor / processes;
}

}  // namespace asterdrift::node::process
