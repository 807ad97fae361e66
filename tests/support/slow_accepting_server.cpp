// A server to which connections are established only when the test allows it.
#include "support/slow_accepting_server.h"

namespace asterdrift::node::testing {

SlowAcceptingServer::SlowAcceptingServer()
    : listener_(0), queue_filler_(test_support::TestSocket::connect_to(listener_.port())) {}

test_support::TestSocket SlowAcceptingServer::accept_waiting() const {
  free_queue();
  return listener_.accept();
}

}  // namespace asterdrift::node::testing
