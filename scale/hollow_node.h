// A node without sockets to callers and servers: the real module and the real watch on discovery, many in one
// process. Calls and their ends are events.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "node/config/node_config.h"
#include "node/discovery/discovery_client.h"
#include "node/timing/clock.h"

namespace asterdrift::scale {

class HollowNode {
 public:
  struct Counts {
    std::uint64_t whole_lists = 0, changes = 0, failures = 0, watches = 0, sends = 0;
  };

  // `acted`: the module has been told of a list, and its actions are done.
  HollowNode(boost::asio::io_context& io, const std::string& config,
             std::function<void(HollowNode&)> acted = {});
  void start();
  const Counts& counts() const { return counts_; }
  std::uint64_t seq() const { return seq_; }  // of the last list
  bool knows_servers() const { return balancer_.endpoints(node::timing::now()).listed > 0; }

  // One call, answered at once. Returns the server of its first attempt; empty where it was refused.
  std::string call();

 private:
  void post(const balancer::Event& event);
  void take(const node::config::EndpointList& list);

  boost::asio::io_context& io_;
  node::config::NodeConfig config_;
  balancer::Balancer balancer_;
  node::discovery::DiscoveryClient discovery_;
  std::function<void(HollowNode&)> acted_;
  Counts counts_;
  std::uint64_t seq_ = 0, calls_ = 0;
  std::string sent_to_;
};

// What the module is told of a list.
balancer::EndpointUpdate update_of(const node::config::EndpointList& list);

}  // namespace asterdrift::scale
