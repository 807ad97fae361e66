// Moves a connection between the server's lists, and updates the number of busy connections.
#include "node/downstream/connection_state_tracker.h"

#include "node/timing/clock.h"

namespace asterdrift::node::downstream {

void ConnectionStateTracker::enter(ConnectionState state, const std::shared_ptr<Connection>& connection) {
  if (is_listed_) server_.lists.find(state_)->erase(position_);
  if (is_busy(state_)) --server_.busy_connections;
  if (is_busy(state)) ++server_.busy_connections;
  state_ = state;
  since_ = timing::now();
  is_listed_ = false;  // stays false if the insertion throws
  ConnectionList* const list = server_.lists.find(state);
  if (list == nullptr) return;
  position_ = list->insert(list->end(), connection);
  is_listed_ = true;
}

}  // namespace asterdrift::node::downstream
