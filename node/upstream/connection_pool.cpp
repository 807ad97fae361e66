#include "node/upstream/connection_pool.h"

#include <utility>

#include "node/timing/clock.h"

namespace asterdrift::node::upstream {
namespace {

using balancer::EndpointState;
using balancer::Outcome;
using boost::system::error_code;
using timing::now;

constexpr double kAvoidIdleTime = 10;  // s after a stale connection
constexpr double kMaxIdleTimeFraction =
    0.9;  // of the servers' idle timeout; older connections are not reused

void add_connecting(const std::vector<std::shared_ptr<Connection>>& connecting,
                    std::vector<AttemptHandle>& attempts) {
  for (const std::shared_ptr<Connection>& connection : connecting) attempts.push_back(connection->handle());
}

}  // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context& io, const config::NodeConfig& config,
                               memory::MemoryBudget& body_budget, telemetry::Metrics& metrics,
                               std::size_t max_connections)
    : ConnectionOwner(io, body_budget, metrics, config.connect_timeout),
      max_idle_time_(config.server_idle_timeout * kMaxIdleTimeFraction),
      max_connections_(max_connections),
      expiry_timer_(io) {
  close_expired();
}

ConnectionPool::PooledEndpoint* ConnectionPool::find(const std::string& name) {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? nullptr : &it->second;
}

AttemptHandle ConnectionPool::start(const std::string& endpoint, std::shared_ptr<UpstreamRequest> request,
                                    double timeout, double write_within, AttemptCallbacks callbacks) {
  PooledEndpoint* known = find(endpoint);
  if (known == nullptr || timeout <= 0 || write_within <= 0) {
    callbacks.on_end({Outcome::kNotSent, {}, {}, {}, 0});
    return {};
  }
  const AttemptSerial serial{++last_serial_};
  if (const std::shared_ptr<Connection> idle = take_idle(*known)) {
    idle->begin(serial, std::move(request), timeout, write_within, std::move(callbacks));
    idle->start_writing();
    return {idle, serial};
  }
  if (!ensure_capacity()) {
    callbacks.on_end({Outcome::kNotSent, {}, {}, {}, 0});
    return {};
  }
  ConnectionOwner& owner = *this;
  const auto connection = std::make_shared<Connection>(owner, endpoint, known->generation);
  ++open_connections_;
  connection->begin(serial, std::move(request), timeout, write_within, std::move(callbacks));
  known->connecting.push_back(connection);
  connection->connect(known->address);
  return {connection, serial};
}

void ConnectionPool::stop(const AttemptHandle& attempt, Outcome outcome) {
  if (const auto connection = attempt.connection.lock()) connection->stop(attempt.serial, outcome);
}

void ConnectionPool::withdraw(const AttemptHandle& attempt) {
  if (const auto connection = attempt.connection.lock()) connection->withdraw(attempt.serial);
}

// Takes the most recently used connection, so that the others can expire. A request must not be written on a
// connection that the server has closed or is about to close: if it is not idempotent, it cannot be retried.
// After a stale connection, which a middlebox may have dropped, only connections that were used a moment ago
// are reused for some time. This holds for idempotent requests too, since few servers detect duplicates.
std::shared_ptr<Connection> ConnectionPool::take_idle(PooledEndpoint& endpoint) {
  while (!endpoint.idle.empty()) {
    std::shared_ptr<Connection> last = endpoint.idle.back();
    if (now() < avoid_idle_until_ && now() - last->idle_since() >= kFreshIdleTime) return nullptr;
    endpoint.idle.pop_back();
    idle_.erase(last->idle_position);
    if (now() - last->idle_since() < max_idle_time_ && !last->is_stale()) return last;
    last->close();
  }
  return nullptr;
}

// Returns whether another connection may be opened. Connections that have been idle longest are closed for
// it.
bool ConnectionPool::ensure_capacity() {
  while (open_connections_ >= max_connections_ && !idle_.empty()) close_oldest_idle();
  return open_connections_ < max_connections_;
}

void ConnectionPool::set_max_connections(std::size_t connections) {
  max_connections_ = connections;
  ensure_capacity();
}

void ConnectionPool::on_connect_ended(const std::shared_ptr<Connection>& connection) {
  if (PooledEndpoint* known = find(connection->endpoint())) std::erase(known->connecting, connection);
}

void ConnectionPool::on_reusable(const std::shared_ptr<Connection>& connection) {
  PooledEndpoint* known = find(connection->endpoint());
  // The server has been replaced while the connection was busy: it leads to the previous process.
  if (known == nullptr || known->generation != connection->generation()) return connection->close();
  if (open_connections_ > max_connections_) return connection->close();
  connection->idle_position = idle_.insert(idle_.end(), connection);
  known->idle.push_back(connection);
  connection->set_idle();
}

void ConnectionPool::on_idle_ended(const std::shared_ptr<Connection>& connection) { remove_idle(connection); }

void ConnectionPool::remove_idle(const std::shared_ptr<Connection>& connection) {
  idle_.erase(connection->idle_position);
  if (PooledEndpoint* known = find(connection->endpoint())) std::erase(known->idle, connection);
}

void ConnectionPool::on_stale_reset() { avoid_idle_until_ = now() + kAvoidIdleTime; }

void ConnectionPool::close_oldest_idle() {
  const std::shared_ptr<Connection> oldest = idle_.front();
  remove_idle(oldest);
  oldest->close();
}

void ConnectionPool::close_idle(PooledEndpoint& endpoint) {
  for (const std::shared_ptr<Connection>& connection : std::exchange(endpoint.idle, {})) {
    idle_.erase(connection->idle_position);
    connection->close();
  }
}

void ConnectionPool::close_expired() {
  while (!idle_.empty() && now() - idle_.front()->idle_since() >= max_idle_time_) close_oldest_idle();
  const double idle_time = idle_.empty() ? 0 : now() - idle_.front()->idle_since();
  expiry_timer_.expires_after(timing::to_duration(max_idle_time_ - idle_time));
  expiry_timer_.async_wait([this](const error_code& error) {
    if (!error) close_expired();
  });
}

std::vector<AttemptHandle> ConnectionPool::apply(const config::EndpointList& list) {
  std::vector<AttemptHandle> stopped;
  ++lists_applied_;
  for (const config::ListedEndpoint& listed : list.endpoints) {
    if (listed.endpoint.state == EndpointState::kReady) apply_ready(listed, stopped);
  }
  for (const config::ListedEndpoint& listed : list.endpoints) {
    if (listed.endpoint.state == EndpointState::kReady) continue;
    const auto it = endpoints_.find(listed.endpoint.address);
    if (it != endpoints_.end()) remove(it, stopped);
  }
  for (auto it = endpoints_.begin(); list.is_snapshot && it != endpoints_.end();) {
    const auto endpoint = it++;
    if (endpoint->second.last_list != lists_applied_) remove(endpoint, stopped);
  }
  return stopped;
}

void ConnectionPool::apply_ready(const config::ListedEndpoint& listed, std::vector<AttemptHandle>& stopped) {
  PooledEndpoint& endpoint = endpoints_[listed.endpoint.address];
  // Another process, or the same at another address: connections that are idle or being established are of
  // no use.
  if (endpoint.address != listed.socket_address || endpoint.started_at != listed.endpoint.started_at) {
    close_idle(endpoint);
    add_connecting(endpoint.connecting, stopped);
    endpoint.generation = ++last_generation_;
  }
  endpoint.address = listed.socket_address;
  endpoint.started_at = listed.endpoint.started_at;
  endpoint.last_list = lists_applied_;
}

// A request that awaits its connection must not be written to an endpoint that is draining by then.
void ConnectionPool::remove(Endpoints::iterator endpoint, std::vector<AttemptHandle>& stopped) {
  add_connecting(endpoint->second.connecting, stopped);
  close_idle(endpoint->second);
  endpoints_.erase(endpoint);
}

}  // namespace asterdrift::node::upstream
