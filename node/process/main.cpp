// load-balancer-node: one node of the load balancer. README.md describes its configuration.
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

#include "node/config/node_config.h"
#include "node/process/node.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::process {
namespace {

constexpr double kAddressTimeout = 3;  // s for an address to become available
constexpr auto kAddressPeriod = std::chrono::milliseconds(20);

enum ExitCode { kDrained = 0, kCannotStart = 1, kBadConfiguration = 2 };

// After a process has been killed, its addresses may stay in use for a moment.
void start(std::optional<Node>& node, const config::NodeConfig& config) {
  const double began = timing::now();
  for (bool logged = false; !node;) {
    try {
      node.emplace(config);
    } catch (const boost::system::system_error& error) {
      const bool timed_out = timing::now() - began >= kAddressTimeout;
      if (error.code() != boost::asio::error::address_in_use || timed_out) throw;
      if (!std::exchange(logged, true)) {
        telemetry::log_line(std::string("waiting for an address in use: ") + error.what());
      }
      std::this_thread::sleep_for(kAddressPeriod);
    }
  }
}

int fail(ExitCode code, const std::exception& error) {
  std::fprintf(stderr, "load-balancer-node: %s\n", error.what());
  return code;
}

// Ends the process at once, and with it all open connections.
[[noreturn]] void serve(Node& node) {
  try {
    node.run();
  } catch (const std::exception& error) {
    std::_Exit(fail(kCannotStart, error));
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
    return fail(kBadConfiguration, error);
  } catch (const std::invalid_argument& error) {  // settings that the balancer cannot use
    return fail(kBadConfiguration, error);
  } catch (const std::exception& error) {
    return fail(kCannotStart, error);
  }
}

}  // namespace
}  // namespace asterdrift::node::process

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  return asterdrift::node::process::run();
}
