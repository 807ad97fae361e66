// The connections to servers: their reuse, expiry and limit, and the effect of a drain.
#include <chrono>
#include <string>
#include <vector>

#include "support/node_fixture.h"
#include "support/slow_accepting_server.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

TEST(UpstreamConnection, ConnectionToEarlierIncarnationIsNotReused) {
  NodeFixture fixture;
  auto [client, old_server] = fixture.start_with_forwarded_request();
  const int new_incarnation_ms = 5;
  fixture.announce_changes(8, endpoint("s0", fixture.servers[0].port(), "active", new_incarnation_ms));
  fixture.watch.close();
  EXPECT_TRUE(contains(fixture.accept_watch(), "index=8 ")) << "the change has been applied";
  old_server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
  EXPECT_TRUE(old_server.closed_by_peer());
  const TestSocket new_server = fixture.forward(client);
  new_server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
}

TEST(UpstreamConnection, ConnectionClosedByServerIsNotReused) {
  NodeFixture fixture;
  auto [client, server] = fixture.start_with_forwarded_request();
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
  server.close();
  server = fixture.forward(client);
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
}

// A keep-alive connection that is reset by its server when its next request arrives costs that request an
// attempt, or its response if it must not be retried. After such a reset, requests are sent only on
// connections that were used a moment ago, and on new connections.
TEST(UpstreamConnection, IdleConnectionsAreNotReusedAfterStaleConnection) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client();
  const auto expect_served_by = [&](TestSocket& server) {
    EXPECT_TRUE(contains(server.read_message(), "question"));
    server.send(ok_response());
    EXPECT_TRUE(contains(client.read_message(), " 200 "));
  };
  client.send(request_with_id("close", "r1"));
  TestSocket first = fixture.servers[0].accept();
  expect_served_by(first);
  EXPECT_TRUE(first.is_idle(150ms)) << "the keep-alive connection stays open";
  client.send(request_with_id("close", "r2"));
  first.read_message();
  first.reset();
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 502 "));
  client.send(request_with_id("close", "r3"));
  TestSocket second = fixture.servers[0].accept();
  expect_served_by(second);
  EXPECT_TRUE(second.is_idle(150ms));
  client.send(request_with_id("close", "r4"));
  TestSocket third = fixture.servers[0].accept();
  expect_served_by(third);
  EXPECT_TRUE(third.is_idle(150ms));
  client.send(request_with_id("mark", "r5"));  // may be retried, but only within the deduplication window
  TestSocket fourth = fixture.servers[0].accept();
  expect_served_by(fourth);
}

TEST(UpstreamConnection, IdleConnectionIsClosedBeforeServerTimeout) {
  NodeFixture fixture;
  fixture.config.idle_timeout = 4;
  auto [client, server] = fixture.start_with_forwarded_request();
  server.send(ok_response());
  const Stopwatch stopwatch;
  EXPECT_TRUE(server.closed_by_peer());
  EXPECT_LT(stopwatch.seconds(), 4);
}

TEST(UpstreamConnection, DrainMigratesRequestsThatWaitForConnection) {
  const SlowAcceptingServer unreachable_server;
  NodeFixture fixture;
  fixture.config.connect_timeout = 10;
  TestSocket client = fixture.start_with_waiting_request(unreachable_server);
  fixture.announce_changes(
      8, endpoint("s0", unreachable_server.port(), "leaving") + "," + fixture.server_entry(1));
  TestSocket server = fixture.servers[1].accept();
  server.read_message();
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
}

TEST(UpstreamConnection, ConnectionAttemptTimesOut) {
  const SlowAcceptingServer unreachable_server;
  NodeFixture fixture;
  fixture.start_with(endpoint("s0", unreachable_server.port()));
  TestSocket client = fixture.connect_client();
  const Stopwatch stopwatch;
  client.send(request("close"));
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 503 ")) << "the request has not run and is rejected";
  EXPECT_LT(stopwatch.seconds(), 1.9);
}

TEST(UpstreamConnection, NewAddressOfServerIsUsed) {
  NodeFixture fixture;
  auto [client, old_server] = fixture.start_with_forwarded_request();
  old_server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
  fixture.announce_changes(8, endpoint("s0", fixture.servers[1].port()));
  const Stopwatch stopwatch;
  EXPECT_TRUE(old_server.closed_by_peer());
  EXPECT_LT(stopwatch.seconds(), 3) << "the connection is closed long before its idle timeout";
  client.send(request("close"));
  TestSocket new_server = fixture.servers[1].accept();
  new_server.read_message();
  new_server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
}

TEST(UpstreamConnection, IdleConnectionsAreClosedToConnectToAnotherServer) {
  NodeFixture fixture;
  fixture.config.max_sockets = 64;  // allows ten connections to servers
  fixture.start_with_one_server();
  std::vector<TestSocket> clients, connections;
  for (int i = 0; i < 10; ++i) {
    clients.push_back(fixture.connect_client());
    connections.push_back(fixture.forward(clients.back(), request_with_id("close", "r" + std::to_string(i))));
  }
  for (std::size_t i = 0; i < 10; ++i) {
    connections[i].send(ok_response());
    EXPECT_TRUE(contains(clients[i].read_message(), " 200 "));
  }
  fixture.announce_changes(8, fixture.server_entry(1));
  for (int i = 0; i < 60 && fixture.servers[1].is_idle(); ++i) {
    clients[0].send(request("close"));
    wait_until([&] {
      for (TestSocket& connection : connections) {
        if (connection.is_idle() || connection.read_message().empty()) continue;
        connection.send(ok_response());
        return true;
      }
      return !fixture.servers[1].is_idle();
    });
    if (fixture.servers[1].is_idle()) {
      EXPECT_TRUE(contains(clients[0].read_message(), " 200 "));
    }
  }
  TestSocket server = fixture.servers[1].accept();
  server.read_message();
  server.send(ok_response());
  EXPECT_TRUE(contains(clients[0].read_message(), " 200 "));
}

}  // namespace
}  // namespace asterdrift::node::testing
