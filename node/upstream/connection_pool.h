// Attempts at servers, on a pool of persistent connections for each endpoint.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/config/endpoint_list.h"
#include "node/config/node_config.h"
#include "node/upstream/attempt.h"
#include "node/upstream/connection.h"

namespace asterdrift::node::upstream {

// Limits the connections to all endpoints together, and closes those that have been idle for long.
class ConnectionPool : private ConnectionOwner {
 public:
  ConnectionPool(boost::asio::io_context& io, const config::NodeConfig& config,
                 memory::MemoryBudget& body_budget, telemetry::Metrics& metrics, std::size_t max_connections);

  // Starts an attempt. Its end may come before this returns. The timeout counts from when the request is
  // sent. A request that is not written completely after `write_within` ends as not sent. Both in seconds.
  AttemptHandle start(const std::string& endpoint, std::shared_ptr<UpstreamRequest> request, double timeout,
                      double write_within, AttemptCallbacks callbacks);

  // Ends an attempt unless it has ended.
  void stop(const AttemptHandle& attempt, balancer::Outcome outcome);

  // Ends an attempt as not sent unless it has been written completely, or its response has begun.
  void withdraw(const AttemptHandle& attempt);

  // Applies a snapshot or changes. The cost is that of the endpoints in the list, for a snapshot also that of
  // the endpoints from before. No more attempts start at endpoints that are draining or removed. Returns the
  // attempts that await a connection to such an endpoint, or to an endpoint's previous address; the caller
  // stops them as not sent.
  std::vector<AttemptHandle> apply(const config::EndpointList& list);

  // Idle connections beyond the limit are closed.
  void set_max_connections(std::size_t connections);

  std::size_t endpoints() const { return endpoints_.size(); }  // that may be sent to

 private:
  // There may be tens of thousands, of which few are ever used: an unused one allocates no other memory.
  struct PooledEndpoint {
    boost::asio::ip::tcp::endpoint address;
    std::uint32_t last_list = 0;  // the last list with this endpoint, by lists_applied_
    double started_at = 0;
    std::uint64_t generation = 0;                   // new with each process or address
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used at the back
    std::vector<std::shared_ptr<Connection>> connecting;
  };
  using Endpoints = std::unordered_map<std::string, PooledEndpoint>;

  void on_connect_ended(const std::shared_ptr<Connection>& connection) override;
  void on_reusable(const std::shared_ptr<Connection>& connection) override;
  void on_idle_ended(const std::shared_ptr<Connection>& connection) override;
  void on_stale_reset() override;
  void on_closed() override { --open_connections_; }

  PooledEndpoint* find(const std::string& name);
  std::shared_ptr<Connection> take_idle(PooledEndpoint& endpoint);
  bool ensure_capacity();
  void remove_idle(const std::shared_ptr<Connection>& connection);
  void close_oldest_idle();
  void close_idle(PooledEndpoint& endpoint);
  void close_expired();
  void apply_ready(const config::ListedEndpoint& listed, std::vector<AttemptHandle>& stopped);
  void remove(Endpoints::iterator endpoint, std::vector<AttemptHandle>& stopped);

  const double max_idle_time_;  // s
  std::size_t max_connections_;
  std::size_t open_connections_ = 0;
  double avoid_idle_until_ = 0;  // after a stale connection
  std::uint64_t last_serial_ = 0, last_generation_ = 0;
  std::uint32_t lists_applied_ = 0;
  Endpoints endpoints_;
  Connection::List idle_;  // of all endpoints, the longest idle first
  boost::asio::steady_timer expiry_timer_;
};

}  // namespace asterdrift::node::upstream
