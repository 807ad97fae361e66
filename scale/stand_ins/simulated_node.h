// A node with the real balancer and the real watch on discovery, but without sockets to clients and servers,
// so that one process can run many. Requests and their outcomes are passed to the balancer as events.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "asterdrift/balancer/balancer.h"
#include "node/config/node_config.h"
#include "node/discovery/discovery_client.h"

namespace asterdrift::scale {

class SimulatedNode {
 public:
  struct Counts {
    std::uint64_t snapshots = 0;          // received from discovery
    std::uint64_t incremental_lists = 0;  // received from discovery
    std::uint64_t failed_watches = 0;
    std::uint64_t watches = 0;   // requested by the balancer
    std::uint64_t attempts = 0;  // sent by the balancer
  };
  using ListHandler = std::function<void(SimulatedNode&)>;

  // `on_list_applied` is called after the balancer has applied a list and its resulting actions are executed.
  SimulatedNode(boost::asio::io_context& io, const std::string& config, ListHandler on_list_applied = {});

  void start();
  const Counts& counts() const { return counts_; }

  // The version of the last list received; 0 before the first.
  std::uint64_t list_version() const { return list_version_; }
  bool has_endpoints() const;

  // Passes one request to the balancer, and reports success for its attempt at once. Returns the endpoint of
  // the attempt, or an empty string if the balancer sent none.
  std::string handle_request();

 private:
  void handle(const balancer::Event& event);
  void handle_list(const node::config::EndpointList& list);
  void handle_failed_watch();
  void carry_out(const balancer::Action& action);
  void start_timer(const balancer::SetTimer& timer);

  boost::asio::io_context& io_;
  node::config::NodeConfig config_;
  balancer::Balancer balancer_;
  node::discovery::DiscoveryClient discovery_;
  ListHandler on_list_applied_;
  Counts counts_;
  std::uint64_t list_version_ = 0;
  std::uint64_t last_request_ = 0;
  // Endpoint of the current request's latest attempt; empty before the attempt.
  std::string attempted_endpoint_;
};

}  // namespace asterdrift::scale
