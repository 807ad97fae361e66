// A connection's state, and its position in the server's lists.
#pragma once

#include <memory>

#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

// Updates the server's lists and its count of busy connections with the state.
class ListedState {
 public:
  // server has to outlive this.
  explicit ListedState(ServerState& server) : server_(server) {}

  // Entering the current state again moves the connection to the end of its list. connection: null once it is
  // being destroyed.
  void enter(ConnectionState state, const std::shared_ptr<Connection>& connection);

  ConnectionState current() const { return state_; }
  double since() const { return since_; }  // on the steady clock

 private:
  ServerState& server_;
  ConnectionState state_ = ConnectionState::kNew;
  double since_ = 0;
  bool is_listed_ = false;  // at position_ of its state's list
  ConnectionList::iterator position_;
};

}  // namespace asterdrift::node::downstream
