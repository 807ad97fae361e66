// Accepts clients' connections, and enforces the connection limit and timeouts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>

#include "asterdrift/seconds.h"
#include "node/downstream/connection_evictor.h"
#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

// Owns the listening socket, and the lists of connections by state.
class Server {
 public:
  // Binds the address. A shared address can also be bound by other processes of this node. Throws
  // boost::system::system_error if the address is not available.
  Server(boost::asio::io_context& io, const config::NodeConfig& config,
         dispatch::RequestDispatcher& dispatcher, memory::MemoryBudget& body_budget,
         telemetry::Metrics& metrics, std::size_t max_connections, bool is_shared_address);

  // Starts to accept connections. Throws boost::system::system_error.
  void listen();
  bool is_listening() const { return state_.is_listening; }
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Sets the connection limit, and closes inactive connections in excess of it.
  void set_max_connections(std::size_t connections);

  // The steps of a graceful shutdown. In the first step, /healthz responds 503, and connections stay usable.
  void begin_drain() { state_.is_draining = true; }
  // From the second step, each response ends its connection. Idle connections stay open, and new ones are
  // still accepted.
  void close_after_responses() { state_.closes_after_responses = true; }
  // Directs new connections to another process that listens on the address. This process goes on accepting
  // connections that are being established. listening_index: the index of the other process's socket, see
  // net::steer_new_connections(). Returns whether the system supports this.
  bool hand_over_new_connections(std::uint32_t listening_index);
  // To be called when the other process has ended. This process accepts all new connections again.
  void end_hand_over();
  // When the last connection was accepted, on the steady clock.
  Seconds last_accepted_at() const { return last_accepted_at_; }
  // Accepts the connections in the listen backlog, and closes the listening socket.
  void stop_accepting();
  // Closes idle connections, and makes each response end its connection as close_after_responses() does.
  void close_idle_connections();
  // Rejects requests that have not arrived completely.
  void reject_partial_requests();

  std::size_t connections() const { return state_.connections; }
  // The number of connections whose response is awaited or being written.
  std::size_t busy_connections() const { return state_.busy_connections; }
  // The number of dispatched requests without a complete response.
  std::size_t pending_requests() const { return state_.pending_requests; }
  // The number of uploads that are not read until their servers take more bytes.
  std::size_t blocked_uploads() const;
  // Whether this process can serve requests, as /healthz and /ready report.
  bool is_ready() const { return state_.is_ready(); }

 private:
  void bind(const boost::asio::ip::tcp::endpoint& address, bool is_shared);
  void accept();
  bool accept_one();
  void accept_later();
  void log_connection_limit() const;
  void start_connection(boost::asio::ip::tcp::socket socket);
  void wait_for_capacity();
  void resume_accepting();
  void enforce_connection_limit();
  void enforce_connection_limit_at(Seconds time);
  void close_timed_out_connections();

  ServerState state_;
  ConnectionEvictor evictor_;
  bool is_accepting_ = false;  // whether a wait for the next connection is pending
  // Whether the connection limit is reached, a client is waiting, and no connection could be evicted.
  bool is_waiting_for_capacity_ = false;
  Seconds last_accepted_at_ = 0;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_, capacity_timer_, timeout_timer_;
};

}  // namespace asterdrift::node::downstream
