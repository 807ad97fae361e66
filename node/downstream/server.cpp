// Accepts connections up to the limit, closes those that time out, and hands over new connections.
#include "node/downstream/server.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <exception>
#include <string>
#include <utility>

#include "node/downstream/connection.h"
#include "node/net/connection_steering.h"
#include "node/net/socket_probe.h"
#include "node/net/timestamped_read.h"
#include "node/telemetry/log.h"
#include "node/timing/clock.h"

namespace asterdrift::node::downstream {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using telemetry::log_line;
using timing::now;

// The maximum time between a response and the next request.
constexpr Seconds kIdleTimeout = 20;
// The maximum time for a request's head. For the first request of a connection, the time counts from the
// connection's start. The operators' limit for a client without a complete request is 3 s.
constexpr Seconds kReadTimeout = 2.4;
// The maximum time for which a client may take no byte of its response. Longer for clients whose receive
// window was large, see net::SendProgress.
constexpr Seconds kMinWriteTimeout = 5;
// The maximum time for a client to close its connection after the last response.
constexpr Seconds kCloseTimeout = 1;
// The maximum number of connections that are accepted before other sockets are served.
constexpr int kMaxAcceptsPerWait = 64;
constexpr int kListenBacklog = 4096;
constexpr auto kTimeoutCheckPeriod = std::chrono::milliseconds(100);
// The delay before another attempt to accept connections after an error. Prevents a busy loop.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

// Calls `visit` for each connection of a list until `visit` returns false. `visit` may remove the connection.
template <class Visit>
void for_each_while(ConnectionList& list, const Visit& visit) {
  for (auto it = list.begin(); it != list.end();) {
    const std::shared_ptr<Connection> connection = *it++;
    if (!visit(*connection)) break;
  }
}

// Calls `close` for the connections that have been in the list for longer than `max_age`. Connections are in
// the order in which they entered the list.
template <class Close>
void close_older(ConnectionList& list, Seconds max_age, const Close& close) {
  for_each_while(list, [&](Connection& connection) {
    const bool is_older = now() - connection.state_since() > max_age;
    if (is_older) close(connection);
    return is_older;
  });
}

}  // namespace

Server::Server(asio::io_context& io, const config::NodeConfig& config,
               dispatch::RequestDispatcher& dispatcher, memory::MemoryBudget& body_budget,
               telemetry::Metrics& metrics, std::size_t max_connections, bool is_shared_address)
    : state_(io, config, dispatcher, body_budget, metrics, max_connections, [this] { resume_accepting(); }),
      evictor_(state_),
      acceptor_(io),
      accept_timer_(io),
      capacity_timer_(io),
      timeout_timer_(io) {
  bind(config.listen_address, is_shared_address);
  close_timed_out_connections();
}

void Server::bind(const tcp::endpoint& address, bool is_shared) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  if (is_shared) {
    using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    // If the system refuses the option, the address belongs to this process alone.
    error_code ignored;
    acceptor_.set_option(reuse_port(true), ignored);
  }
  net::enable_arrival_timestamps(acceptor_.native_handle());  // inherited by accepted connections
  acceptor_.bind(address);
  acceptor_.non_blocking(true);
}

void Server::listen() {
  acceptor_.listen(kListenBacklog);
  state_.is_listening = true;
  accept();
}

void Server::set_max_connections(std::size_t connections) {
  const bool has_more_capacity = connections > state_.max_connections;
  state_.max_connections = connections;
  enforce_connection_limit();
  if (has_more_capacity) resume_accepting();
}

// When the connection limit is reached, an inactive connection is closed for each new one. If there is no
// inactive connection, new connections wait in the listen backlog until a connection closes or may be
// evicted.
void Server::accept() {
  if (is_accepting_ || !state_.is_listening || !acceptor_.is_open()) return;
  is_accepting_ = true;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](const error_code& error) {
    is_accepting_ = false;
    if (error == asio::error::operation_aborted) return;
    if (error) return accept_later();
    for (int i = 0; i < kMaxAcceptsPerWait; ++i) {
      if (!accept_one()) return;
    }
    accept();
  });
}

// Accepts one connection if possible. Returns whether more connections may be accepted now; if not, accepting
// goes on later.
bool Server::accept_one() {
  if (state_.connections >= state_.max_connections) {
    if (!net::has_waiting_connection(acceptor_.native_handle())) {
      is_waiting_for_capacity_ = false;
      accept();
      return false;
    }
    if (!evictor_.evict_one(ConnectionEvictor::Reason::kClientIsWaiting)) {
      wait_for_capacity();
      return false;
    }
  }
  error_code error;
  tcp::socket socket(state_.io);
  acceptor_.accept(socket, error);
  if (error == asio::error::would_block || error == asio::error::connection_aborted) {
    accept();
    return false;
  }
  if (error) {  // probably there is no file descriptor left
    accept_later();
    return false;
  }
  is_waiting_for_capacity_ = false;
  start_connection(std::move(socket));
  return true;
}

void Server::log_connection_limit() const {
  log_line("connection limit reached: all " + std::to_string(state_.connections) +
           " downstream connections are busy");
}

void Server::accept_later() {
  const bool client_is_waiting = net::has_waiting_connection(acceptor_.native_handle());
  if (client_is_waiting && evictor_.evict_one(ConnectionEvictor::Reason::kClientIsWaiting)) return accept();
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](const error_code& error) {
    if (!error) accept();
  });
}

void Server::start_connection(tcp::socket socket) {
  last_accepted_at_ = now();
  error_code error;
  socket.set_option(tcp::no_delay(true), error);
  socket.non_blocking(true, error);
  if (error) return;
  try {
    std::make_shared<Connection>(state_, std::move(socket))->start();
  } catch (const std::exception& failure) {
    log_line(std::string("downstream connection not accepted: ") + failure.what());
  }
}

// Called when a client is waiting and no connection can be evicted now.
void Server::wait_for_capacity() {
  const Seconds next = evictor_.next_eviction_at();
  if (std::isinf(next) && !is_waiting_for_capacity_) log_connection_limit();
  is_waiting_for_capacity_ = true;
  enforce_connection_limit_at(next);
}

void Server::resume_accepting() {
  if (is_waiting_for_capacity_) accept();
}

// Closes inactive connections in excess of the limit, now or as soon as they may be evicted.
void Server::enforce_connection_limit() {
  while (state_.has_too_many_connections()) {
    if (!evictor_.evict_one(ConnectionEvictor::Reason::kLimitLowered)) break;
  }
  if (state_.has_too_many_connections()) enforce_connection_limit_at(evictor_.next_eviction_at());
}

void Server::enforce_connection_limit_at(Seconds time) {
  if (std::isinf(time)) return;
  capacity_timer_.expires_at(timing::to_time_point(time));
  capacity_timer_.async_wait([this](const error_code& error) {
    if (error) return;
    enforce_connection_limit();
    resume_accepting();
  });
}

void Server::close_timed_out_connections() {
  const auto close_if_idle = [](Connection& connection) { connection.close_if_idle(); };
  const auto close_if_slow = [](Connection& connection) {
    return connection.close_if_slow(kReadTimeout), true;
  };
  ConnectionLists& lists = state_.lists;
  close_older(lists.awaiting_first_request, kReadTimeout, close_if_idle);
  close_older(lists.idle, kIdleTimeout, close_if_idle);
  close_older(lists.closing, kCloseTimeout, [](Connection& connection) { connection.close(); });
  for_each_while(lists.reading, close_if_slow);
  for_each_while(lists.uploading, close_if_slow);
  for_each_while(lists.uploading, [](Connection& connection) { return connection.probe_upload(), true; });
  for_each_while(lists.writing, [](Connection& connection) {
    return connection.close_if_write_stalled(kMinWriteTimeout), true;
  });
  timeout_timer_.expires_after(kTimeoutCheckPeriod);
  timeout_timer_.async_wait([this](const error_code& error) {
    if (!error) close_timed_out_connections();
  });
}

std::size_t Server::blocked_uploads() const {
  const auto count = std::ranges::count_if(
      state_.lists.uploading,
      [](const std::shared_ptr<Connection>& connection) { return connection->is_upload_blocked(); });
  return static_cast<std::size_t>(count);
}

void Server::close_idle_connections() {
  state_.closes_after_responses = true;
  for (const ConnectionList* list : {&state_.lists.awaiting_first_request, &state_.lists.idle}) {
    const ConnectionList all = *list;
    for (const std::shared_ptr<Connection>& connection : all) connection->close_if_idle();
  }
}

void Server::reject_partial_requests() {
  const ConnectionList all = state_.lists.reading;
  for (const std::shared_ptr<Connection>& connection : all) connection->reject_partial_request();
}

bool Server::hand_over_new_connections(std::uint32_t listening_index) {
  return state_.is_listening && net::steer_new_connections(acceptor_.native_handle(), listening_index);
}

void Server::end_hand_over() {
  if (acceptor_.is_open()) net::stop_steering(acceptor_.native_handle());
}

void Server::stop_accepting() {
  for (error_code error; state_.is_listening && !error;) {
    tcp::socket socket(state_.io);
    acceptor_.accept(socket, error);
    if (!error) start_connection(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  is_waiting_for_capacity_ = false;
}

}  // namespace asterdrift::node::downstream
