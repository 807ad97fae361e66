#include "node/admin/admin_server.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include "node/telemetry/log.h"

namespace asterdrift::node::admin {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// The limit for connections that are accepted in a row before other sockets are served.
constexpr int kMaxAcceptsPerWait = 64;
constexpr int kListenBacklog = 256;  // connections that the operating system queues
constexpr auto kOverdueCheckPeriod = std::chrono::milliseconds(200);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);  // avoids a busy loop

}  // namespace

AdminServer::AdminServer(boost::asio::io_context& io, const tcp::endpoint& address, Callbacks callbacks)
    : io_(io), callbacks_(std::move(callbacks)), acceptor_(io), accept_timer_(io), overdue_timer_(io) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(kListenBacklog);
  acceptor_.non_blocking(true);
  accept();
  close_overdue();
}

void AdminServer::accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](const error_code& error) {
    if (error == boost::asio::error::operation_aborted) return;
    for (int i = 0; i < kMaxAcceptsPerWait; ++i) {
      if (!accept_one()) return;
    }
    accept();
  });
}

// Returns whether another connection may be accepted now. Otherwise, accept() has been scheduled.
bool AdminServer::accept_one() {
  error_code error;
  tcp::socket socket(io_);
  acceptor_.accept(socket, error);
  if (error == boost::asio::error::would_block || error == boost::asio::error::connection_aborted) {
    accept();
    return false;
  }
  if (!error) socket.non_blocking(true, error);
  if (error) {
    accept_timer_.expires_after(kAcceptRetryDelay);
    accept_timer_.async_wait([this](const error_code& stopped) {
      if (!stopped) accept();
    });
    return false;
  }
  while (connections_.size() >= max_connections_) evict_one();
  start_connection(std::move(socket));
  return true;
}

void AdminServer::start_connection(tcp::socket socket) {
  try {
    const auto connection = std::make_shared<AdminConnection>(callbacks_, std::move(socket));
    const auto position = connections_.insert(connections_.end(), connection);
    connection->start([this, position] { connections_.erase(position); });
  } catch (const std::exception& error) {
    telemetry::log_line(std::string("admin connection not accepted: ") + error.what());
  }
}

// Closes one connection, in this order of preference: the oldest that has received its response, the oldest
// that has not sent a complete request, the oldest.
void AdminServer::evict_one() {
  const auto find = [this](const auto& predicate) {
    return std::find_if(connections_.begin(), connections_.end(), predicate);
  };
  auto it = find([](const auto& connection) { return connection->is_closing(); });
  if (it == connections_.end())
    it = find([](const auto& connection) { return !connection->is_responding(); });
  const std::shared_ptr<AdminConnection> evicted = it == connections_.end() ? connections_.front() : *it;
  evicted->close();
}

void AdminServer::close_overdue() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    const std::shared_ptr<AdminConnection> connection = *it++;
    if (connection->is_overdue()) connection->close_overdue();
  }
  overdue_timer_.expires_after(kOverdueCheckPeriod);
  overdue_timer_.async_wait([this](const error_code& error) {
    if (!error) close_overdue();
  });
}

}  // namespace asterdrift::node::admin
