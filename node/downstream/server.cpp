#include "node/downstream/server.h"

#include <sys/socket.h>

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

constexpr double kIdleTimeout = 20;  // s without a request
// s; for a head, from the connection's start if it is its first. Operators allow 3 s for a client without a
// complete request.
constexpr double kReadTimeout = 2.4;
constexpr double kWriteTimeout = 5;     // s for a client to take any byte of its response
constexpr double kCloseTimeout = 1;     // s for a client to close after its last response
constexpr int kMaxAcceptsPerWait = 64;  // so that other sockets are served in between
constexpr int kBacklog = 4096;          // connections that the system queues
constexpr auto kOverduePeriod = std::chrono::milliseconds(100);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);  // avoids a busy loop

// Calls `visit` for the connections of a list while it returns true. A visit may remove its connection.
template <class Visit>
void for_each_while(ConnectionList& list, const Visit& visit) {
  for (auto it = list.begin(); it != list.end();) {
    const std::shared_ptr<Connection> connection = *it++;
    if (!visit(*connection)) break;
  }
}

// Closes the connections that have been in a list for longer than `limit` seconds.
template <class Close>
void close_older(ConnectionList& list, double limit, const Close& close) {
  for_each_while(list, [&](Connection& connection) {
    const bool is_older = now() - connection.state_since() > limit;
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
      overdue_timer_(io) {
  bind(config.listen_address, is_shared_address);
  close_overdue();
}

void Server::bind(const tcp::endpoint& address, bool is_shared) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  if (is_shared) {
    using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    error_code refused;  // then the address is this process's alone, as it would be without the option
    acceptor_.set_option(reuse_port(true), refused);
  }
  net::enable_arrival_timestamps(acceptor_.native_handle());  // the accepted connections inherit it
  acceptor_.bind(address);
  acceptor_.non_blocking(true);
}

void Server::listen() {
  acceptor_.listen(kBacklog);
  state_.is_listening = true;
  accept();
}

void Server::set_max_connections(std::size_t connections) {
  const bool has_more_capacity = connections > state_.max_connections;
  state_.max_connections = connections;
  enforce_limit();
  if (has_more_capacity) resume_accepting();
}

// At the limit, an inactive connection is closed for each new one. Where there is none, new connections wait
// in the listen backlog until a connection closes or may be evicted.
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

// Returns whether more may be accepted now; if not, accepting is resumed later.
bool Server::accept_one() {
  if (state_.connections >= state_.max_connections) {
    if (!net::has_waiting_connection(acceptor_.native_handle())) {
      is_full_ = false;
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
  if (error) {  // probably no descriptor left
    accept_later();
    return false;
  }
  is_full_ = false;
  adopt(std::move(socket));
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

void Server::adopt(tcp::socket socket) {
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

// A client waits, and no connection can be evicted now.
void Server::wait_for_capacity() {
  const double next = evictor_.next_eviction_at();
  if (std::isinf(next) && !is_full_) log_connection_limit();
  is_full_ = true;
  enforce_limit_at(next);
}

void Server::resume_accepting() {
  if (is_full_) accept();
}

// Closes inactive connections beyond the limit, now or once they may be evicted.
void Server::enforce_limit() {
  while (state_.has_too_many_connections()) {
    if (!evictor_.evict_one(ConnectionEvictor::Reason::kLimitIsLower)) break;
  }
  if (state_.has_too_many_connections()) enforce_limit_at(evictor_.next_eviction_at());
}

void Server::enforce_limit_at(double time) {
  if (std::isinf(time)) return;
  capacity_timer_.expires_at(timing::to_time_point(time));
  capacity_timer_.async_wait([this](const error_code& error) {
    if (error) return;
    enforce_limit();
    resume_accepting();
  });
}

void Server::close_overdue() {
  const auto close_if_idle = [](Connection& connection) { connection.close_if_idle(); };
  const auto close_if_slow = [](Connection& connection) {
    return connection.close_if_slow(kReadTimeout), true;
  };
  ConnectionLists& lists = state_.lists;
  close_older(lists.fresh, kReadTimeout, close_if_idle);
  close_older(lists.idle, kIdleTimeout, close_if_idle);
  close_older(lists.closing, kCloseTimeout, [](Connection& connection) { connection.close(); });
  for_each_while(lists.reading, close_if_slow);
  for_each_while(lists.uploading, close_if_slow);
  for_each_while(lists.uploading,
                 [](Connection& connection) { return connection.close_if_client_disconnected(), true; });
  for_each_while(lists.writing,
                 [](Connection& connection) { return connection.close_if_stuck(kWriteTimeout), true; });
  overdue_timer_.expires_after(kOverduePeriod);
  overdue_timer_.async_wait([this](const error_code& error) {
    if (!error) close_overdue();
  });
}

void Server::close_idle_connections() {
  state_.closes_after_responses = true;
  for (const ConnectionList* list : {&state_.lists.fresh, &state_.lists.idle}) {
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
    if (!error) adopt(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  is_full_ = false;
}

}  // namespace asterdrift::node::downstream
