// Chooses which connection is closed to make room for another one.
#pragma once

#include "node/downstream/eviction_log.h"
#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

// Closes inactive connections: those whose client awaits nothing from this node. In this order: connections
// that have had their last response, those that have never sent a byte, idle ones, and those that send
// slowly. A new connection, or one whose request is arriving, is closed only where none has been inactive for
// longer, and never before its client has had a moment to send.
class ConnectionEvictor {
 public:
  enum class Reason { kClientIsWaiting, kLimitIsLower };

  // server has to outlive the evictor.
  explicit ConnectionEvictor(ServerState& server);

  // Closes one inactive connection, and returns whether there was one.
  bool evict_one(Reason reason);
  // When one more connection can be evicted if no connection changes its state, on the steady clock;
  // infinity: never.
  double next_eviction_at() const;

 private:
  using State = telemetry::Eviction::ConnectionState;

  template <class IsOldEnough>
  bool evict_idle(ConnectionList& list, State state, const IsOldEnough& is_old_enough);
  bool evict_closing();
  bool evict_slow(double min_age);
  void record(State state, double since);

  ServerState& server_;
  EvictionLog log_;
  Reason reason_ = Reason::kClientIsWaiting;  // of the current eviction
};

}  // namespace asterdrift::node::downstream
