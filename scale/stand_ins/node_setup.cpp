// Configuration of a simulated or real node in benchmarks and guards.
#include "scale/stand_ins/node_setup.h"

#include <sstream>

#include "node/config/node_config.h"

namespace asterdrift::scale {
namespace {

// The part of the tenant's quota that each replica adds.
constexpr std::size_t kReplicaQuotaRequestsPerSecond = 10000;

}  // namespace

NodeSetup replica_setup(int discovery_port, std::size_t replica_index, std::size_t replicas,
                        ListDelivery list_delivery) {
  NodeSetup setup;
  setup.discovery_port = discovery_port;
  setup.replica_index = replica_index;
  setup.replicas = replicas;
  setup.list_delivery = list_delivery;
  setup.seed = replica_index + 1;
  return setup;
}

std::string config_text(const NodeSetup& setup) {
  const bool is_pushed = setup.list_delivery == ListDelivery::kPushed;
  std::ostringstream out;
  out << R"({"name":"n)" << setup.replica_index << R"(","listen":"127.0.0.1:0","discovery":"127.0.0.1:)"
      << setup.discovery_port << R"(","seed":")" << std::hex << setup.seed << std::dec
      << R"(","limits":{"sockets":1024,"memory_mb":)" << setup.memory_mb << R"(},"settings":{"position":)"
      << setup.replica_index << R"(,"peersTotal":)" << setup.replicas << R"(,"stage":)" << setup.tier
      << R"(,"registryMode":")" << (is_pushed ? "automatic" : "subscribe")
      << R"(","azs":["a","b","c"],"bounds":{"cancel":true,"maxAttempts":4,"retryAfter":true,)"
      << R"("maxRetryAfter":2.0,"dialTimeout":0.25,"idleClose":30},)"
      << R"("realms":[{"name":"acme","allowancePerS":)" << kReplicaQuotaRequestsPerSecond * setup.replicas
      << R"(}],"rules":{"askWithin":6},"categories":[)"
      << R"({"name":"read","aim":2,"giveUp":5,"lateWorth":0.5,"effect":"safe"}]}})";
  return out.str();
}

balancer::Settings balancer_settings(const NodeSetup& setup) {
  return node::config::parse_config(config_text(setup)).settings;
}

}  // namespace asterdrift::scale
