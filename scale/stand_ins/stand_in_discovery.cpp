// A stand-in for discovery on loopback that serves endpoint lists and watches, and simulates faults.
#include "scale/stand_ins/stand_in_discovery.h"

#include <chrono>
#include <string>
#include <utility>

namespace asterdrift::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr int kMaxPendingConnections = 4096;

// Distance between the indices of the endpoints of consecutive scheduled changes.
constexpr std::size_t kChangeIndexStep = 7919;

}  // namespace

StandInDiscovery::StandInDiscovery(asio::io_context& io, std::size_t endpoints, int endpoint_port)
    : io_(io), state_(endpoints, endpoint_port), acceptor_(io), port_holder_(io), change_timer_(io) {
  listen();
}

StandInDiscovery::~StandInDiscovery() {
  for (const auto& connection : connections_) connection->close();
}

void StandInDiscovery::listen() {
  tcp::acceptor acceptor(io_);
  acceptor.open(tcp::v4());
  acceptor.set_option(ReusePort(true));
  acceptor.bind({asio::ip::address_v4::loopback(), static_cast<unsigned short>(port_)});
  acceptor.listen(kMaxPendingConnections);
  port_ = acceptor.local_endpoint().port();
  if (!port_holder_.is_open()) {
    port_holder_.open(tcp::v4());
    port_holder_.set_option(ReusePort(true));
    port_holder_.bind(acceptor.local_endpoint());
  }
  acceptor_ = std::move(acceptor);
  accept();
}

void StandInDiscovery::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) {
      state_.counts.connections += 1;
      socket.set_option(tcp::no_delay(true));
      const auto connection = std::make_shared<DiscoveryConnection>(
          state_, std::move(socket), [this](const auto& closed) { connections_.erase(closed); });
      connections_.insert(connection);
      connection->start();
    }
    accept();
  });
}

void StandInDiscovery::set_mode(DiscoveryMode mode) {
  state_.mode = mode;
  if (mode != DiscoveryMode::kHang) {
    for (const auto& connection : connections_) connection->close();
    connections_.clear();
  }
  if (mode == DiscoveryMode::kRefuse) acceptor_.close();
  if (mode != DiscoveryMode::kRefuse && !acceptor_.is_open()) listen();
}

void StandInDiscovery::set_draining(std::size_t index, bool draining) {
  state_.list.set_draining(index, draining);
  if (state_.mode == DiscoveryMode::kHang) return;
  const auto event = std::make_shared<std::string>(watch_event(state_.list.latest_change()));
  const std::vector<std::shared_ptr<DiscoveryConnection>> open_connections(connections_.begin(),
                                                                           connections_.end());
  for (const auto& connection : open_connections) {
    if (!connection->is_watching()) continue;
    state_.counts.incremental_lists += 1;
    connection->send(event);
  }
}

void StandInDiscovery::set_change_rate(double changes_per_second) {
  change_period_ = changes_per_second > 0 ? 1 / changes_per_second : 0;
  change_timer_.expires_at(std::chrono::steady_clock::now());
  if (change_period_ > 0) schedule_change();
}

void StandInDiscovery::schedule_change() {
  const std::chrono::duration<double> period(change_period_);
  change_timer_.expires_at(change_timer_.expiry() +
                           std::chrono::duration_cast<std::chrono::nanoseconds>(period));
  change_timer_.async_wait([this](const error_code& error) {
    if (error || change_period_ == 0) return;
    const std::size_t index = scheduled_changes_++ * kChangeIndexStep % state_.list.size();
    set_draining(index, !state_.list.is_draining(index));
    schedule_change();
  });
}

}  // namespace asterdrift::scale
