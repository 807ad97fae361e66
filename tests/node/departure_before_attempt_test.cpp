// No attempt begins for a client that has disconnected.
#include <string>

#include "support/long_timeout_fixture.h"
#include "support/slow_accepting_server.h"

namespace asterdrift::node::testing {
namespace {

// An attempt fails in a way that permits a retry, and the client disconnects. The node handles the failure
// before the disconnection.
TEST(DepartureBeforeAttempt, NoRetryBegins) {
  for (const Departure departure : kAllDepartures) {
    for (const std::string failure : {"HTTP/1.1 503 Full\r\nNot-Started: 1\r\n", ""}) {
      KeepAliveFixture fixture;
      fixture.start_with_both_servers();
      auto connections = fixture.open_keep_alive_connections();
      const long upstream_requests_before = fixture.metric("upstream_requests");
      TestSocket client = fixture.connect_client();
      client.send(request(failure.empty() ? "mark" : "close"));
      wait_until([&] { return !connections[0].is_idle() || !connections[1].is_idle(); });
      const std::size_t first = connections[0].is_idle() ? 1 : 0;
      EXPECT_TRUE(contains(connections[first].read_message(), "Request-Id: r1\r\n"));
      fixture.node->suspend();
      failure.empty() ? connections[first].reset()
                      : connections[first].send(with_content_length(failure, ""));
      depart(client, departure);
      fixture.node->resume();
      wait_until([&] { return fixture.metric("pending") == 0; });
      EXPECT_EQ(fixture.metric("upstream_requests"), upstream_requests_before + 1)
          << name_of(departure) << ", failed by " << failure;
      EXPECT_TRUE(connections[1 - first].is_idle()) << name_of(departure);
    }
  }
}

// The client disconnects while the connection to the server is being established.
TEST(DepartureBeforeAttempt, NoAttemptBeginsOnSlowlyEstablishedConnection) {
  for (const Departure departure : kAllDepartures) {
    const SlowAcceptingServer slow_server;
    KeepAliveFixture fixture;
    TestSocket client = fixture.start_with_waiting_request(slow_server);
    fixture.node->suspend();
    TestSocket server = slow_server.accept_waiting();
    depart(client, departure);
    fixture.node->resume();
    EXPECT_TRUE(server.closed_by_peer()) << name_of(departure);
    wait_until([&] { return fixture.metric("pending") == 0; });
    EXPECT_EQ(fixture.metric("upstream_requests"), 0) << name_of(departure);
  }
}

}  // namespace
}  // namespace asterdrift::node::testing
