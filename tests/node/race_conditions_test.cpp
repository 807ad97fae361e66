// Race conditions: events of clients, servers and discovery that occur at nearly the same time, such as the
// end of a connection and a request on it. Some tests suspend the node, so that it finds several events at
// once when it is resumed.
#include <string>
#include <vector>

#include "support/long_timeout_fixture.h"
#include "support/slow_accepting_server.h"

namespace asterdrift::node::testing {
namespace {

// An overloaded node finds more input than it reads in one iteration of its event loop. Meanwhile the time
// limit for new connections without a request expires. The node must not close connections whose request it
// has not read yet.
TEST(RaceConditions, ConnectionWithUnreadRequestIsNotClosed) {
  LongTimeoutFixture fixture;
  fixture.start_with_one_server();
  std::vector<TestSocket> clients;
  clients.reserve(300);
  for (int i = 0; i < 300; ++i) clients.push_back(fixture.connect_client());
  // The client of the health request is the last in the accept queue, so all others have been accepted.
  fixture.health_response();
  const Stopwatch stopwatch;
  fixture.node->suspend();
  wait_until([&] { return stopwatch.seconds() > 2.6; });
  for (const TestSocket& client : clients) client.send("GET /healthz HTTP/1.1\r\n\r\n");
  fixture.node->resume();
  int successes = 0;
  for (TestSocket& client : clients) successes += static_cast<int>(contains(client.read_message(), " 200 "));
  EXPECT_EQ(successes, 300);
}

// A response arrives together with the end of its client's connection, in either order. The response must not
// be sent to the next client of the server.
TEST(RaceConditions, ResponseForDepartedClientIsDiscarded) {
  for (const bool response_first : {false, true}) {
    for (const Departure departure : kCloseAndReset) {
      LongTimeoutFixture fixture;
      auto [client, server] = fixture.start_with_forwarded_request();
      fixture.node->suspend();
      if (response_first) server.send(ok_response("stray"));
      depart(client, departure);
      if (!response_first) server.send(ok_response("stray"));
      fixture.node->resume();
      wait_until([&] { return fixture.metric("pending") == 0; });
      TestSocket next_client = fixture.connect_client();
      next_client.send(request("close", "", "next", "r2"));
      wait_until(
          [&, &first_server = server] { return !first_server.is_idle() || !fixture.servers[0].is_idle(); });
      std::string forwarded = server.is_idle() ? "" : server.read_message();
      if (forwarded.empty()) {
        server = fixture.servers[0].accept();
        forwarded = server.read_message();
      }
      EXPECT_TRUE(forwarded.ends_with("\r\n\r\nnext")) << forwarded;
      server.send(ok_response("own"));
      EXPECT_TRUE(contains(next_client.read_message(), "\r\n\r\nown"));
    }
  }
}

// A server ends its keep-alive connection while the next request for it is on its way to the node. The
// request must be sent on a new connection.
TEST(RaceConditions, ClosedKeepAliveConnectionIsNotReused) {
  for (const Departure departure : kCloseAndReset) {
    LongTimeoutFixture fixture;
    auto [client, server] = fixture.start_with_forwarded_request();
    server.send(ok_response());
    EXPECT_TRUE(contains(client.read_message(), " 200 "));
    fixture.node->suspend();
    // The node reads this request before it notices the end of the server's connection.
    client.send(request("close", "", "next"));
    depart(server, departure);
    fixture.node->resume();
    TestSocket new_server = fixture.servers[0].accept();
    EXPECT_TRUE(new_server.read_message().ends_with("\r\n\r\nnext"));
    new_server.send(ok_response());
    EXPECT_TRUE(contains(client.read_message(), " 200 "));
    EXPECT_EQ(fixture.metric("upstream_requests"), 2);
  }
}

TEST(RaceConditions, UploadInProgressCompletesOnDrainingServer) {
  LongTimeoutFixture fixture;
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client();
  const std::string body(300000, 'u');
  client.send(request_head("close") + "Content-Length: 300000\r\n\r\n" + body.substr(0, 200000));
  TestSocket server = fixture.servers[0].accept();
  server.read_until("\r\n\r\n");
  EXPECT_EQ(server.read_bytes(200000).size(), 200000U);
  fixture.announce_changes(8, fixture.server_entry(0, "leaving"));
  wait_until([&] { return fixture.metric("members_unavailable") == 1; });
  client.send(body.substr(200000));
  EXPECT_EQ(server.read_bytes(100000).size(), 100000U);
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
  client.send(request("close", "", "next", "r2"));
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 503 ")) << "a draining server is sent no new request";
}

// Servers deduplicate requests by idempotency key only within the deduplication window, so a retry after the
// window could be executed a second time.
TEST(RaceConditions, RetryAfterDeduplicationWindowIsNotSent) {
  const SlowAcceptingServer slow_server;
  LongTimeoutFixture fixture;
  fixture.config.dedup_window = 0.5;
  const std::string first_entry = fixture.server_entry(0);
  auto [client, server] = fixture.start_with_forwarded_request(request("mark"));
  const Stopwatch stopwatch;
  fixture.announce_snapshot(8, first_entry + "," + endpoint("s1", slow_server.port()));
  wait_until([&] { return fixture.metric("members") == 2; });
  server.reset();
  wait_until([&, &waiting_client = client] {
    return connection_attempt_to(slow_server.port()) || !waiting_client.is_idle();
  });
  wait_until([&] { return stopwatch.seconds() > fixture.config.dedup_window; });
  slow_server.free_queue();
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 502 ")) << "the first attempt may have run";
  EXPECT_EQ(fixture.metric("upstream_requests"), 1);
}

}  // namespace
}  // namespace asterdrift::node::testing
