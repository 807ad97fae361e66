// Runs attempts on a pool of keep-alive connections for each endpoint.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "asterdrift/seconds.h"
#include "node/config/endpoint_list.h"
#include "node/config/node_config.h"
#include "node/upstream/attempt.h"
#include "node/upstream/connection.h"

namespace asterdrift::node::upstream {

// Limits the number of connections to all endpoints together, and closes connections that have been idle for
// too long.
class ConnectionPool : private ConnectionOwner {
 public:
  ConnectionPool(boost::asio::io_context& io, const config::NodeConfig& config,
                 memory::MemoryBudget& body_budget, telemetry::Metrics& metrics, std::size_t max_connections);

  // Starts an attempt. The attempt may end before this function returns. `timeout` counts from this call, for
  // a request with a body_stream from when the last byte of the stream has been sent. An attempt whose
  // request has not been written completely within `write_timeout` ends as not sent.
  AttemptHandle start_attempt(const std::string& endpoint, std::shared_ptr<UpstreamRequest> request,
                              Seconds timeout, Seconds write_timeout, AttemptCallbacks callbacks);

  // Ends an attempt unless it has already ended.
  void stop(const AttemptHandle& attempt, balancer::Outcome outcome);

  // See Connection::withdraw().
  void withdraw(const AttemptHandle& attempt);
  // When the server counts as having stopped reading the upload that the attempt sends; 0 if the attempt
  // sends none.
  static Seconds upload_stalled_at(const AttemptHandle& attempt);

  // Applies a snapshot or an incremental list. The cost is proportional to the number of endpoints in the
  // list, for a snapshot also to the number of previous endpoints. No more attempts start at endpoints that
  // are draining or removed. Returns the attempts that wait for a connection to such an endpoint, or to an
  // earlier incarnation or address of an endpoint; the caller stops them as not sent.
  std::vector<AttemptHandle> apply(const config::EndpointList& list);

  // Changes the limit, and closes idle connections that exceed it.
  void set_max_connections(std::size_t connections);

  // The number of endpoints that accept new requests.
  std::size_t endpoint_count() const { return endpoints_.size(); }

 private:
  // There may be tens of thousands of endpoints, few of which are ever used, so an unused endpoint allocates
  // no memory besides this struct.
  struct PooledEndpoint {
    boost::asio::ip::tcp::endpoint address;
    std::uint32_t last_list = 0;   // the value of lists_applied_ for the last list with this endpoint
    Seconds started_at = 0;        // when the server process started, on the steady clock; 0: long ago
    std::uint64_t generation = 0;  // changes with each incarnation or address
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used is last
    std::vector<std::shared_ptr<Connection>> connecting;
  };
  using Endpoints = std::unordered_map<std::string, PooledEndpoint>;

  void on_connect_ended(const std::shared_ptr<Connection>& connection) override;
  void on_reusable(const std::shared_ptr<Connection>& connection) override;
  void on_idle_ended(const std::shared_ptr<Connection>& connection) override;
  void on_stale_reset() override;
  void on_closed() override { --open_connections_; }

  PooledEndpoint* find_endpoint(const std::string& name);
  std::shared_ptr<Connection> take_idle(PooledEndpoint& endpoint);
  bool make_room();
  void remove_idle(const std::shared_ptr<Connection>& connection);
  void close_oldest_idle();
  void close_idle(PooledEndpoint& endpoint);
  void close_expired();
  void apply_ready_endpoint(const config::ListedEndpoint& listed, std::vector<AttemptHandle>& to_stop);
  void remove_endpoint(Endpoints::iterator endpoint, std::vector<AttemptHandle>& to_stop);

  const Seconds max_idle_time_;
  std::size_t max_connections_;
  std::size_t open_connections_ = 0;
  // Until this time, only connections that have been idle for less than kFreshIdleTime are reused. Set after
  // a connection turned out to be stale.
  Seconds avoid_idle_until_ = 0;
  std::uint64_t last_attempt_id_ = 0, last_generation_ = 0;
  std::uint32_t lists_applied_ = 0;
  Endpoints endpoints_;
  // The idle connections of all endpoints. The connection that has been idle for the longest time is first.
  Connection::List idle_;
  boost::asio::steady_timer expiry_timer_;
};

}  // namespace asterdrift::node::upstream
