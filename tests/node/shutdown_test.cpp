// Graceful shutdown after SIGTERM.
#include <csignal>
#include <string>

#include "support/long_timeout_fixture.h"
#include "support/slow_accepting_server.h"

namespace asterdrift::node::testing {
namespace {

TEST(Shutdown, NodeDrainsOnSigterm) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  TestSocket keep_alive = fixture.connect_client(), busy = fixture.connect_client();
  keep_alive.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(contains(keep_alive.read_message(), "HTTP/1.1 200 "));
  const TestSocket server = fixture.forward(busy);
  fixture.node->signal(SIGTERM);
  const Stopwatch stopwatch;
  fixture.node->read_log_until("draining");
  keep_alive.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(contains(keep_alive.read_message(), "HTTP/1.1 503 "));
  // Clients continue to use their connections, since they may have no other node.
  const TestSocket second_server = fixture.forward(keep_alive, request_with_id("close", "r2"));
  second_server.send(ok_response());
  EXPECT_TRUE(contains(keep_alive.read_message(), " 200 "));
  TestSocket new_client = fixture.connect_client();  // the draining node still accepts
  new_client.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(contains(new_client.read_message(), "HTTP/1.1 503 "));
  EXPECT_TRUE(new_client.closed_by_peer()) << "idle connections are closed before the end";
  EXPECT_TRUE(keep_alive.closed_by_peer());
  EXPECT_GT(stopwatch.seconds(), 1.5);
  server.send(ok_response());
  EXPECT_TRUE(contains(busy.read_message(), "Connection: close\r\n"));
  EXPECT_TRUE(busy.closed_by_peer());
  EXPECT_EQ(fixture.node->wait_for_exit(), 0);
  EXPECT_LT(stopwatch.seconds(), 3.7);
}

// The node's own deadline ends a request that neither the decision module nor the client ends in time.
TEST(Shutdown, InFlightRequestsGetResponsesBeforeSigkill) {
  NodeFixture fixture;
  auto [client, server] =
      fixture.start_with_forwarded_request(request("close", "Request-Timeout-Ms: 60000\r\n"));
  fixture.node->signal(SIGTERM);
  const Stopwatch stopwatch;
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 50"));
  EXPECT_EQ(fixture.node->wait_for_exit(), 0);
  EXPECT_LT(stopwatch.seconds(), 4.5);
}

// A request that was not sent to a server is rejected at the end of the drain, with Retry-After if the
// configuration allows it, and is not sent later.
TEST(Shutdown, UnsentRequestsAreRejectedAtEndOfDrain) {
  for (const bool is_allowed : {false, true}) {
    const SlowAcceptingServer slow_server;
    LongTimeoutFixture fixture;
    fixture.config.may_cancel = fixture.config.may_send_retry_after = is_allowed;
    TestSocket client = fixture.start_with_waiting_request(slow_server);
    fixture.node->signal(SIGTERM);
    const std::string response = client.read_message();
    EXPECT_TRUE(contains(response, "HTTP/1.1 503 ")) << response;
    EXPECT_EQ(contains(response, "Retry-After: "), is_allowed) << response;
    EXPECT_FALSE(connection_attempt_to(slow_server.port()));
    EXPECT_EQ(fixture.node->wait_for_exit(), 0);
  }
}

// One request arrives in the middle of the drain, and the last byte of another one at the time of the final
// responses.
TEST(Shutdown, SecondSigtermChangesNothingAndRequestsDuringTheDrainGetResponses) {
  LongTimeoutFixture fixture;
  fixture.start_with_one_server();
  TestSocket first_client = fixture.connect_client(), second_client = fixture.connect_client();
  TestSocket server = fixture.forward(first_client, request_with_id("close", "early"));
  fixture.node->signal(SIGTERM);
  fixture.node->read_log_until("draining");
  const Stopwatch stopwatch;
  fixture.node->signal(SIGTERM);
  server.send(ok_response());
  EXPECT_TRUE(contains(first_client.read_message(), " 200 "));
  first_client.send(request_with_id("close", "again"));
  EXPECT_TRUE(contains(server.read_message(), "Request-Id: again\r\n"));
  const std::string late_request = request_with_id("close", "late");
  second_client.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(contains(second_client.read_message(), "HTTP/1.1 503 "));
  wait_until([&] { return stopwatch.seconds() > 2.9; });
  second_client.send(late_request.substr(0, late_request.size() - 1));
  wait_until([&] { return stopwatch.seconds() > 3.2; });
  second_client.send(late_request.substr(late_request.size() - 1));
  for (TestSocket* client : {&first_client, &second_client}) {
    EXPECT_TRUE(contains(client->read_message(), "HTTP/1.1 50"));
    EXPECT_TRUE(client->closed_by_peer());
  }
  EXPECT_EQ(fixture.node->wait_for_exit(), 0);
}

}  // namespace
}  // namespace asterdrift::node::testing
