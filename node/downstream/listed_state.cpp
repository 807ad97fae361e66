#include "node/downstream/listed_state.h"

#include "node/timing/clock.h"

namespace asterdrift::node::downstream {

void ListedState::enter(ConnectionState state, const std::shared_ptr<Connection>& connection) {
  if (is_listed_) server_.lists.of(state_)->erase(position_);
  if (is_busy(state_)) --server_.busy_connections;
  if (is_busy(state)) ++server_.busy_connections;
  state_ = state;
  since_ = timing::now();
  is_listed_ = false;  // also where the insertion fails
  ConnectionList* const list = server_.lists.of(state);
  if (list == nullptr) return;
  position_ = list->insert(list->end(), connection);
  is_listed_ = true;
}

}  // namespace asterdrift::node::downstream
