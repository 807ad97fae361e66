// Chooses the connections that are closed to make room for others.
#pragma once

#include "asterdrift/seconds.h"
#include "node/downstream/eviction_log.h"
#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

// Closes inactive connections, which are those whose client awaits no response from this node, in this order:
// connections whose last response has been written, connections that have never sent a byte, idle
// connections, and connections whose request is arriving slowly. A new connection, or one whose request is
// arriving, is closed only if no connection has been inactive for longer, and never before its client has had
// a minimum time to send.
class ConnectionEvictor {
 public:
  enum class Reason { kClientIsWaiting, kLimitLowered };

  // server has to outlive the evictor.
  explicit ConnectionEvictor(ServerState& server);

  // Closes one inactive connection, and returns whether there was one.
  bool evict_one(Reason reason);
  // When one more connection can be evicted if no connection changes its state, on the steady clock. Infinity
  // means never.
  Seconds next_eviction_at() const;

 private:
  using EvictedState = telemetry::Eviction::ConnectionState;

  template <class IsOldEnough>
  bool evict_idle(ConnectionList& list, EvictedState state, const IsOldEnough& is_old_enough);
  bool evict_closing();
  bool evict_slow(Seconds min_age);
  void record(EvictedState state, Seconds since);

  ServerState& server_;
  EvictionLog log_;
  Reason reason_ = Reason::kClientIsWaiting;  // the reason for the current eviction
};

}  // namespace asterdrift::node::downstream
