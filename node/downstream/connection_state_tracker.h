// A connection's state, and its position in the server's connection lists.
#pragma once

#include <memory>

#include "asterdrift/seconds.h"
#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

// Keeps the server's connection lists and its count of busy connections up to date when the state changes.
class ConnectionStateTracker {
 public:
  // server has to outlive the tracker.
  explicit ConnectionStateTracker(ServerState& server) : server_(server) {}

  // Changes the state. Entering the current state again moves the connection to the end of its list.
  // connection: null if the connection is being destroyed.
  void enter(ConnectionState state, const std::shared_ptr<Connection>& connection);

  ConnectionState current() const { return state_; }
  // When the current state was entered, on the steady clock.
  Seconds since() const { return since_; }

 private:
  ServerState& server_;
  ConnectionState state_ = ConnectionState::kInitial;
  Seconds since_ = 0;
  bool is_listed_ = false;  // whether the connection is at position_ in the list for state_
  ConnectionList::iterator position_;
};

}  // namespace asterdrift::node::downstream
