#include "node/downstream/connection_evictor.h"

#include <algorithm>
#include <limits>
#include <memory>

#include "node/downstream/connection.h"
#include "node/timing/clock.h"

namespace asterdrift::node::downstream {
namespace {

using timing::now;

// The age from which a new connection, or one whose request is arriving, counts as inactive. An evicted
// connection counts as recent if it entered its last state less than this time ago.
constexpr Seconds kInactiveAge = 0.25;
// The age below which a new connection, or one whose request is arriving, is not evicted at all.
constexpr Seconds kMinEvictionAge = 0.05;
// How many connections are examined for unread bytes in one pass over a list.
constexpr int kMaxProbedConnections = 16;

}  // namespace

ConnectionEvictor::ConnectionEvictor(ServerState& server)
    : server_(server), log_(server.io, server.metrics) {}

bool ConnectionEvictor::evict_one(Reason reason) {
  reason_ = reason;
  const Seconds time = now();
  const auto is_inactive = [time](const Connection& connection) {
    return time - connection.connected_at() >= kInactiveAge;
  };
  const auto is_old_enough = [time](const Connection& connection) {
    return time - connection.connected_at() >= kMinEvictionAge;
  };
  const auto is_any_age = [](const Connection&) { return true; };
  ConnectionLists& lists = server_.lists;
  return evict_closing() || evict_idle(lists.awaiting_first_request, EvictedState::kNew, is_inactive) ||
         evict_idle(lists.idle, EvictedState::kIdle, is_inactive) || evict_slow(kInactiveAge) ||
         evict_idle(lists.idle, EvictedState::kIdle, is_any_age) ||
         evict_idle(lists.awaiting_first_request, EvictedState::kNew, is_old_enough) ||
         evict_slow(kMinEvictionAge);
}

Seconds ConnectionEvictor::next_eviction_at() const {
  Seconds next = std::numeric_limits<Seconds>::infinity();
  if (!server_.lists.awaiting_first_request.empty()) {
    next = server_.lists.awaiting_first_request.front()->connected_at() + kMinEvictionAge;
  }
  for (const std::shared_ptr<Connection>& connection : server_.lists.reading) {
    next = std::min(next, connection->receive_deadline(kMinEvictionAge));
  }
  return next;
}

// Closes the connection that has been in the list longest and is old enough. Skips connections with unread
// bytes, because these belong to a request that has already arrived.
template <class IsOldEnough>
bool ConnectionEvictor::evict_idle(ConnectionList& list, EvictedState state,
                                   const IsOldEnough& is_old_enough) {
  int probes = 0;
  for (auto it = list.begin(); it != list.end() && probes < kMaxProbedConnections;) {
    const std::shared_ptr<Connection> connection = *it++;
    if (!is_old_enough(*connection)) continue;
    ++probes;
    const Seconds since = connection->state_since();
    if (!connection->close_if_idle()) continue;
    record(state, since);
    return true;
  }
  return false;
}

bool ConnectionEvictor::evict_closing() {
  if (server_.lists.closing.empty()) return false;
  const std::shared_ptr<Connection> oldest = server_.lists.closing.front();
  record(EvictedState::kClosing, oldest->state_since());
  oldest->close();
  return true;
}

bool ConnectionEvictor::evict_slow(Seconds min_age) {
  ConnectionList& reading = server_.lists.reading;
  const auto is_slow = [min_age](const std::shared_ptr<Connection>& connection) {
    return connection->receive_deadline(min_age) <= now();
  };
  const auto slow = std::ranges::find_if(reading, is_slow);
  if (slow == reading.end()) return false;
  const std::shared_ptr<Connection> connection = *slow;
  const Seconds since = connection->state_since();
  if (!connection->close_if_slow(min_age)) return false;
  record(EvictedState::kPartialRequest, since);
  return true;
}

void ConnectionEvictor::record(EvictedState state, Seconds since) {
  log_.record({.connection_state = state,
               .is_recent = now() - since < kInactiveAge,
               .client_is_waiting = reason_ == Reason::kClientIsWaiting});
}

}  // namespace asterdrift::node::downstream
