// A server whose connections are established only when a test says so.
#pragma once

#include "support/loopback_socket.h"

namespace asterdrift::node::testing {

// Its accept queue is full, so that connection attempts wait until `accept_waiting`.
class SlowAcceptingServer {
 public:
  SlowAcceptingServer();

  int port() const { return listener_.port(); }
  // Makes room in the queue: the waiting connection attempt succeeds.
  void free_queue() const { listener_.accept(); }
  // Makes room and accepts the waiting connection.
  test_support::TestSocket accept_waiting() const;

 private:
  test_support::ListeningSocket listener_;
  test_support::TestSocket queue_filler_;  // the queue has space for this connection alone
};

}  // namespace asterdrift::node::testing
