// A server to which connections are established only when the test allows it.
#pragma once

#include "support/loopback_socket.h"

namespace asterdrift::node::testing {

// Keeps its accept queue full, so that a connection attempt waits until free_queue() or accept_waiting() is
// called.
class SlowAcceptingServer {
 public:
  SlowAcceptingServer();

  int port() const { return listener_.port(); }
  // Makes room in the accept queue, so that the waiting connection attempt succeeds.
  void free_queue() const { listener_.accept(); }
  // Makes room in the accept queue, and accepts the connection that was waiting.
  test_support::TestSocket accept_waiting() const;

 private:
  test_support::ListeningSocket listener_;
  test_support::TestSocket queue_filler_;  // the accept queue has room for only this connection
};

}  // namespace asterdrift::node::testing
