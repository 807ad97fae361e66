#include "node/downstream/connection_evictor.h"

#include <algorithm>
#include <limits>
#include <memory>

#include "node/downstream/connection.h"
#include "node/timing/clock.h"

namespace asterdrift::node::downstream {
namespace {

using timing::now;

// s after which a new connection, or one whose request is arriving, counts as inactive; and s before which
// it is not evicted at all.
constexpr double kInactiveAge = 0.25, kMinEvictionAge = 0.05;
constexpr int kMaxProbes = 16;  // idle connections of a list that are examined for unread bytes

}  // namespace

ConnectionEvictor::ConnectionEvictor(ServerState& server)
    : server_(server), log_(server.io, server.metrics) {}

bool ConnectionEvictor::evict_one(Reason reason) {
  reason_ = reason;
  const double time = now();
  const auto is_older = [time](const Connection& each) { return time - each.connected_at() >= kInactiveAge; };
  const auto is_old_enough = [time](const Connection& each) {
    return time - each.connected_at() >= kMinEvictionAge;
  };
  const auto is_any = [](const Connection&) { return true; };
  ConnectionLists& lists = server_.lists;
  return evict_closing() || evict_idle(lists.fresh, State::kNew, is_older) ||
         evict_idle(lists.idle, State::kIdle, is_older) || evict_slow(kInactiveAge) ||
         evict_idle(lists.idle, State::kIdle, is_any) ||
         evict_idle(lists.fresh, State::kNew, is_old_enough) || evict_slow(kMinEvictionAge);
}

double ConnectionEvictor::next_eviction_at() const {
  double next = std::numeric_limits<double>::infinity();
  if (!server_.lists.fresh.empty()) next = server_.lists.fresh.front()->connected_at() + kMinEvictionAge;
  for (const std::shared_ptr<Connection>& connection : server_.lists.reading) {
    next = std::min(next, connection->slow_at(kMinEvictionAge));
  }
  return next;
}

// Closes the connection that has been idle longest. Connections with an unread request are skipped.
template <class IsOldEnough>
bool ConnectionEvictor::evict_idle(ConnectionList& list, State state, const IsOldEnough& is_old_enough) {
  int probes = 0;
  for (auto it = list.begin(); it != list.end() && probes < kMaxProbes;) {
    const std::shared_ptr<Connection> connection = *it++;
    if (!is_old_enough(*connection)) continue;
    ++probes;
    const double since = connection->state_since();
    if (!connection->close_if_idle()) continue;
    record(state, since);
    return true;
  }
  return false;
}

bool ConnectionEvictor::evict_closing() {
  if (server_.lists.closing.empty()) return false;
  const std::shared_ptr<Connection> oldest = server_.lists.closing.front();
  record(State::kClosing, oldest->state_since());
  oldest->close();
  return true;
}

bool ConnectionEvictor::evict_slow(double min_age) {
  ConnectionList& reading = server_.lists.reading;
  const auto is_slow = [min_age](const std::shared_ptr<Connection>& each) {
    return each->slow_at(min_age) <= now();
  };
  const auto slow = std::ranges::find_if(reading, is_slow);
  if (slow == reading.end()) return false;
  const std::shared_ptr<Connection> connection = *slow;
  const double since = connection->state_since();
  if (!connection->close_if_slow(min_age)) return false;
  record(State::kPartialRequest, since);
  return true;
}

void ConnectionEvictor::record(State state, double since) {
  log_.record({.connection_state = state,
               .is_recent = now() - since < kInactiveAge,
               .client_is_waiting = reason_ == Reason::kClientIsWaiting});
}

}  // namespace asterdrift::node::downstream
