// Selects, opens and closes the connections of the pool, and applies endpoint lists.
#include "node/upstream/connection_pool.h"

#include <utility>

#include "node/timing/clock.h"

namespace asterdrift::node::upstream {
namespace {

using balancer::EndpointState;
using balancer::Outcome;
using boost::system::error_code;
using timing::now;

// How long connections that have been idle are not reused after a connection turned out to be stale.
constexpr Seconds kAvoidIdleTime = 10;
// Connections that have been idle for longer than this fraction of the servers' idle timeout are not reused.
constexpr double kMaxIdleTimeFraction = 0.9;

void append_handles(const std::vector<std::shared_ptr<Connection>>& connecting,
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

ConnectionPool::PooledEndpoint* ConnectionPool::find_endpoint(const std::string& name) {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? nullptr : &it->second;
}

AttemptHandle ConnectionPool::start_attempt(const std::string& endpoint,
                                            std::shared_ptr<UpstreamRequest> request, Seconds timeout,
                                            Seconds write_timeout, AttemptCallbacks callbacks) {
  PooledEndpoint* pooled = find_endpoint(endpoint);
  if (pooled == nullptr || timeout <= 0 || write_timeout <= 0) {
    callbacks.on_result({Outcome::kNotSent, {}, {}, {}, 0});
    return {};
  }
  const AttemptId attempt_id{++last_attempt_id_};
  if (const std::shared_ptr<Connection> idle = take_idle(*pooled)) {
    idle->begin_attempt(attempt_id, std::move(request), timeout, write_timeout, std::move(callbacks));
    idle->start_writing();
    return {idle, attempt_id};
  }
  if (!make_room()) {
    callbacks.on_result({Outcome::kNotSent, {}, {}, {}, 0});
    return {};
  }
  ConnectionOwner& owner = *this;
  const auto connection = std::make_shared<Connection>(owner, endpoint, pooled->generation);
  ++open_connections_;
  connection->begin_attempt(attempt_id, std::move(request), timeout, write_timeout, std::move(callbacks));
  pooled->connecting.push_back(connection);
  connection->connect(pooled->address);
  return {connection, attempt_id};
}

void ConnectionPool::stop(const AttemptHandle& attempt, Outcome outcome) {
  if (const auto connection = attempt.connection.lock()) connection->stop(attempt.attempt_id, outcome);
}

Seconds ConnectionPool::upload_stalled_at(const AttemptHandle& attempt) {
  const auto connection = attempt.connection.lock();
  return connection ? connection->upload_stalled_at(attempt.attempt_id) : 0;
}

void ConnectionPool::withdraw(const AttemptHandle& attempt) {
  if (const auto connection = attempt.connection.lock()) connection->withdraw(attempt.attempt_id);
}

// Takes the most recently used connection, so that the others can expire. A request must not be written to a
// connection that the server has closed or is about to close: a request that is not idempotent could not be
// retried. After a connection turned out to be stale, for example since a middlebox had dropped it, only
// connections that have been idle for less than kFreshIdleTime are reused for kAvoidIdleTime. This applies to
// idempotent requests too, since few servers detect duplicates.
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

// Returns whether another connection may be opened. At the limit, closes the connections that have been idle
// for the longest time.
bool ConnectionPool::make_room() {
  while (open_connections_ >= max_connections_ && !idle_.empty()) close_oldest_idle();
  return open_connections_ < max_connections_;
}

void ConnectionPool::set_max_connections(std::size_t connections) {
  max_connections_ = connections;
  make_room();
}

void ConnectionPool::on_connect_ended(const std::shared_ptr<Connection>& connection) {
  if (PooledEndpoint* pooled = find_endpoint(connection->endpoint()))
    std::erase(pooled->connecting, connection);
}

void ConnectionPool::on_reusable(const std::shared_ptr<Connection>& connection) {
  PooledEndpoint* pooled = find_endpoint(connection->endpoint());
  // If the server was restarted, moved or removed while the connection was busy, the connection leads to the
  // earlier process or address.
  if (pooled == nullptr || pooled->generation != connection->generation()) return connection->close();
  if (open_connections_ > max_connections_) return connection->close();
  connection->idle_position = idle_.insert(idle_.end(), connection);
  pooled->idle.push_back(connection);
  connection->set_idle();
}

void ConnectionPool::on_idle_ended(const std::shared_ptr<Connection>& connection) { remove_idle(connection); }

void ConnectionPool::remove_idle(const std::shared_ptr<Connection>& connection) {
  idle_.erase(connection->idle_position);
  if (PooledEndpoint* pooled = find_endpoint(connection->endpoint())) std::erase(pooled->idle, connection);
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
  const Seconds idle_time = idle_.empty() ? 0 : now() - idle_.front()->idle_since();
  expiry_timer_.expires_after(timing::to_duration(max_idle_time_ - idle_time));
  expiry_timer_.async_wait([this](const error_code& error) {
    if (!error) close_expired();
  });
}

std::vector<AttemptHandle> ConnectionPool::apply(const config::EndpointList& list) {
  std::vector<AttemptHandle> to_stop;
  ++lists_applied_;
  for (const config::ListedEndpoint& listed : list.endpoints) {
    if (listed.endpoint.state == EndpointState::kReady) apply_ready_endpoint(listed, to_stop);
  }
  for (const config::ListedEndpoint& listed : list.endpoints) {
    if (listed.endpoint.state == EndpointState::kReady) continue;
    const auto it = endpoints_.find(listed.endpoint.address);
    if (it != endpoints_.end()) remove_endpoint(it, to_stop);
  }
  for (auto it = endpoints_.begin(); list.is_snapshot && it != endpoints_.end();) {
    const auto endpoint = it++;
    if (endpoint->second.last_list != lists_applied_) remove_endpoint(endpoint, to_stop);
  }
  return to_stop;
}

void ConnectionPool::apply_ready_endpoint(const config::ListedEndpoint& listed,
                                          std::vector<AttemptHandle>& to_stop) {
  PooledEndpoint& endpoint = endpoints_[listed.endpoint.address];
  // Connections that are idle or being established lead to the earlier incarnation or address, and cannot be
  // used any more.
  if (endpoint.address != listed.socket_address || endpoint.started_at != listed.endpoint.started_at) {
    close_idle(endpoint);
    append_handles(endpoint.connecting, to_stop);
    endpoint.generation = ++last_generation_;
  }
  endpoint.address = listed.socket_address;
  endpoint.started_at = listed.endpoint.started_at;
  endpoint.last_list = lists_applied_;
}

// The attempts that wait for a connection to the endpoint have to be stopped: their requests must not be
// written to an endpoint that is draining by the time the connection is established.
void ConnectionPool::remove_endpoint(Endpoints::iterator endpoint, std::vector<AttemptHandle>& to_stop) {
  append_handles(endpoint->second.connecting, to_stop);
  close_idle(endpoint->second);
  endpoints_.erase(endpoint);
}

}  // namespace asterdrift::node::upstream
