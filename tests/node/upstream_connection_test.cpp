// Connections to servers: reuse, expiry, limits and drains.
#include <chrono>
#include <string>
#include <vector>

#include "support/node_fixture.h"
#include "support/slow_accepting_server.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

TEST(UpstreamConnection, ConnectionToAnEarlierIncarnationIsNotUsed) {
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

TEST(UpstreamConnection, ConnectionThatTheServerHasClosedIsNotUsed) {
  NodeFixture fixture;
  auto [client, server] = fixture.start_with_forwarded_request();
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
  server.close();
  server = fixture.forward(client);
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
}

// A keep-alive connection that breaks under its next request costs that request its response, or an attempt.
// Once that has been observed, requests use connections that were just used, or new ones.
TEST(UpstreamConnection, StaleConnectionsAreNotUsed) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client();
  const auto expect_served_by = [&](TestSocket& server) {
    EXPECT_TRUE(contains(server.read_message(), "question"));
    server.send(ok_response());
    EXPECT_TRUE(contains(client.read_message(), " 200 "));
  };
  client.send(request("close"));
  TestSocket first = fixture.servers[0].accept();
  expect_served_by(first);
  EXPECT_TRUE(first.is_idle(150ms)) << "idle for a while";
  client.send(request("close"));
  first.read_message();
  first.reset();
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 502 "));
  client.send(request("close"));
  TestSocket second = fixture.servers[0].accept();
  expect_served_by(second);
  EXPECT_TRUE(second.is_idle(150ms));
  client.send(request("close"));
  TestSocket third = fixture.servers[0].accept();
  expect_served_by(third);
  EXPECT_TRUE(third.is_idle(150ms));
  client.send(request("mark"));  // idempotent, but only within its deduplication window
  TestSocket fourth = fixture.servers[0].accept();
  expect_served_by(fourth);
}

TEST(UpstreamConnection, IdleConnectionIsClosedBeforeTheServersTimeout) {
  NodeFixture fixture;
  fixture.config.idle_close_s = 4;
  auto [client, server] = fixture.start_with_forwarded_request();
  server.send(ok_response());
  const Stopwatch stopwatch;
  EXPECT_TRUE(server.closed_by_peer());
  EXPECT_LT(stopwatch.seconds(), 4);
}

TEST(UpstreamConnection, DrainMigratesRequestsThatWaitForAConnection) {
  const SlowAcceptingServer unreachable_server;
  NodeFixture fixture;
  fixture.config.connect_timeout_s = 10;
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
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 503 ")) << "rejected: it has not run";
  EXPECT_LT(stopwatch.seconds(), 1.9);
}

TEST(UpstreamConnection, NewAddressOfAServerIsUsed) {
  NodeFixture fixture;
  auto [client, old_server] = fixture.start_with_forwarded_request();
  old_server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
  fixture.announce_changes(8, endpoint("s0", fixture.servers[1].port()));
  const Stopwatch stopwatch;
  EXPECT_TRUE(old_server.closed_by_peer());
  EXPECT_LT(stopwatch.seconds(), 3) << "long before its idle timeout";
  client.send(request("close"));
  TestSocket new_server = fixture.servers[1].accept();
  new_server.read_message();
  new_server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
}

TEST(UpstreamConnection, IdleConnectionsAreClosedForAnotherServer) {
  NodeFixture fixture;
  fixture.config.max_sockets = 64;  // ten of them for servers
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
