// The program load-balancer-node: one node of the load balancer. README.md describes its configuration file.
#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "asterdrift/seconds.h"
#include "node/config/node_config.h"
#include "node/memory/heap.h"
#include "node/process/node.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::process {
namespace {

constexpr Seconds kAddressInUseTimeout = 3;
constexpr auto kAddressRetryInterval = std::chrono::milliseconds(20);

enum ExitCode { kDrained = 0, kRuntimeFailure = 1, kInvalidConfiguration = 2 };

// Binds the node's addresses. Retries if an address is in use, since the addresses of a process may stay in
// use for a moment after it has been killed.
void start(std::optional<Node>& node, const config::NodeConfig& config) {
  const Seconds started_at = timing::now();
  for (bool logged = false; !node;) {
    try {
      node.emplace(config);
    } catch (const boost::system::system_error& error) {
      const bool timed_out = timing::now() - started_at >= kAddressInUseTimeout;
      if (error.code() != boost::asio::error::address_in_use || timed_out) throw;
      if (!std::exchange(logged, true)) {
        telemetry::log_line(std::string("waiting for an address in use: ") + error.what());
      }
      std::this_thread::sleep_for(kAddressRetryInterval);
    }
  }
}

int fail(ExitCode code, const std::exception& error) {
  std::fprintf(stderr, "load-balancer-node: %s\n", error.what());
  return code;
}

// Runs the node until it has drained. Then ends the process at once, which closes all open connections.
[[noreturn]] void serve(Node& node) {
  try {
    node.run();
  } catch (const std::exception& error) {
    std::_Exit(fail(kRuntimeFailure, error));
  }
  std::_Exit(kDrained);
}

int run() {
  try {
    const config::NodeConfig config = config::load_config();
    std::optional<Node> node;
    start(node, config);
    serve(*node);
  } catch (const config::ConfigurationError& error) {
    return fail(kInvalidConfiguration, error);
  } catch (const std::invalid_argument& error) {  // settings that the balancer cannot use
    return fail(kInvalidConfiguration, error);
  } catch (const std::exception& error) {
    return fail(kRuntimeFailure, error);
  }
}

}  // namespace
}  // namespace asterdrift::node::process

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  asterdrift::node::memory::configure_heap();
  return asterdrift::node::process::run();
}
