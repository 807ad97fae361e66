// The configuration of a node.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "asterdrift/balancer/settings.h"
#include "asterdrift/seconds.h"
#include "node/config/endpoint_list.h"

namespace asterdrift::node::config {

// A configuration that cannot be read or used. The message names the file, the field or the environment
// variable.
class ConfigurationError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The fields of the configuration file, including the settings of the balancer.
struct NodeConfig {
  std::string name;
  boost::asio::ip::tcp::endpoint listen_address, discovery_address;
  std::optional<boost::asio::ip::tcp::endpoint> admin_address;  // none: no admin server is opened
  std::uint64_t seed = 0;
  std::size_t max_sockets = 1024;
  std::size_t memory_mb = 64;  // the node's memory, in units of 2^20 bytes
  balancer::Settings settings;
  std::vector<std::string> classes, tenants, zones;  // the names, in the order of the settings
  Seconds connect_timeout = 0.25;
  Seconds server_idle_timeout = 5;  // servers close connections that are idle for this long
  // The endpoints that an earlier process of this node knew. The list may be outdated.
  std::optional<EndpointList> known_endpoints;
};

// An endpoint takes about 470 bytes in the balancer and the connection pools, and 650 bytes while a snapshot
// is being applied.
constexpr std::size_t kBytesPerEndpoint = 600;

// The number of endpoints that fit into half of the node's memory. A longer endpoint list is rejected.
std::size_t max_endpoints(std::size_t memory_mb);

// Parses the text of a configuration file. Throws ConfigurationError.
NodeConfig parse_config(const std::string& text);

// Reads the file that the environment variable GW_CONFIG names. If the file contains no admin address, the
// environment variable GW_MANAGEMENT specifies it. Throws ConfigurationError.
NodeConfig load_config();

}  // namespace asterdrift::node::config
