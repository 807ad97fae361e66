// Accepts clients' connections, and enforces their limits.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>

#include "node/downstream/connection_evictor.h"
#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

// Owns the listening socket and, by state, all connections.
class Server {
 public:
  // Binds the address. A shared one may be bound by other processes of this node too. Throws
  // boost::system::system_error where it is not available.
  Server(boost::asio::io_context& io, const config::NodeConfig& config,
         dispatch::RequestDispatcher& dispatcher, memory::MemoryBudget& body_budget,
         telemetry::Metrics& metrics, std::size_t max_connections, bool is_shared_address);

  // Accepts connections from now on. Throws as above.
  void listen();
  bool is_listening() const { return state_.is_listening; }
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Inactive connections beyond the limit are closed.
  void set_max_connections(std::size_t connections);

  // Graceful shutdown, step by step. First, /healthz responds 503; connections stay usable.
  void begin_drain() { state_.is_draining = true; }
  // Then responses end their connections. Idle ones stay open, and new ones are still accepted.
  void close_after_responses() { state_.closes_after_responses = true; }
  // Leaves new connections to another process that listens on the address; this one goes on accepting those
  // that are being established. listening_index: of the other process, see net::steer_new_connections().
  // Returns whether the system can do it.
  bool hand_over_new_connections(std::uint32_t listening_index);
  // The other process has ended: this one accepts all connections.
  void end_hand_over();
  double last_accepted_at() const { return last_accepted_at_; }  // on the steady clock
  // Accepts the connections in the listen backlog, and none after that.
  void stop_accepting();
  // Idle connections are closed too.
  void close_idle_connections();
  // Incomplete requests are rejected.
  void reject_partial_requests();

  std::size_t connections() const { return state_.connections; }
  // Connections whose response is awaited or being written.
  std::size_t busy_connections() const { return state_.busy_connections; }
  // Requests without a complete response.
  std::size_t pending_requests() const { return state_.pending_requests; }
  // Whether this process can serve, as /healthz and /ready report.
  bool is_ready() const { return state_.is_ready(); }

 private:
  void bind(const boost::asio::ip::tcp::endpoint& address, bool is_shared);
  void accept();
  bool accept_one();
  void accept_later();
  void log_connection_limit() const;
  void adopt(boost::asio::ip::tcp::socket socket);
  void wait_for_capacity();
  void resume_accepting();
  void enforce_limit();
  void enforce_limit_at(double time);
  void close_overdue();

  ServerState state_;
  ConnectionEvictor evictor_;
  bool is_accepting_ = false;  // a wait for the next connection is pending
  bool is_full_ = false;       // at the limit, and a client waits for a connection that can be evicted
  double last_accepted_at_ = 0;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_, capacity_timer_, overdue_timer_;
};

}  // namespace asterdrift::node::downstream
