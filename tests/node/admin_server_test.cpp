// The admin server: its readiness check, its metrics and its address.
#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

TEST(AdminServer, ReadinessFollowsStateOfNode) {
  NodeFixture fixture;
  fixture.enable_admin_server();
  fixture.start();
  EXPECT_TRUE(contains(fixture.admin_get("/ready"), "HTTP/1.1 503 "));
  fixture.accept_watch();
  fixture.announce_snapshot(7, fixture.both_server_entries());
  fixture.wait_until_ready();
  EXPECT_TRUE(contains(fixture.admin_get("/ready"), "HTTP/1.1 200 "));
  fixture.node->signal(SIGTERM);
  fixture.node->read_log_until("draining");
  EXPECT_TRUE(contains(fixture.admin_get("/ready"), "HTTP/1.1 503 "));
}

TEST(AdminServer, ListensOnlyOnItsConfiguredAddress) {
  NodeFixture fixture;
  fixture.start_with_both_servers();
  EXPECT_FALSE(contains(fixture.node->read_log_until("\n"), "admin server"))
      << "no admin server starts without an address in the configuration";
  for (const char* path : {"/ready", "/metrics"}) {
    TestSocket client = fixture.connect_client();
    client.send("GET " + std::string(path) + " HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 404 ")) << path;
  }
  NodeProcess node(fixture.config.to_json(), {.environment = {{"GW_MANAGEMENT", "127.0.0.1:0"}}});
  EXPECT_GT(node.admin_port(), 0) << "the address may be set by the environment variable GW_MANAGEMENT";
}

TEST(AdminServer, RespondsToInvalidRequestsWithTheirStatus) {
  NodeFixture fixture;
  fixture.enable_admin_server();
  fixture.start_with_both_servers();
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"404", "GET / HTTP/1.1\r\n\r\n"},
      {"404", "GET /api HTTP/1.1\r\n\r\n"},
      {"404", "POST /healthz HTTP/1.1\r\nContent-Length: 5\r\n\r\n"},
      {"405", "POST /ready HTTP/1.1\r\nContent-Length: 5\r\n\r\n"},
      {"405", "DELETE /metrics HTTP/1.1\r\n\r\n"},
      {"400", "nonsense\r\n\r\n"},
      {"400", "GET /ready\r\n\r\n"},
      {"431", "GET /ready HTTP/1.1\r\nX: " + std::string(20000, 'x')},
      {"431", "GET /ready HTTP/1.1\r\n" + repeated("X: y\r\n", 4000)},
      {"200", "GET /ready?now HTTP/1.1\r\n\r\nGET /ready HTTP/1.1\r\n\r\n"},
  };
  for (const auto& [status, text] : cases) {
    TestSocket client = TestSocket::connect_to(fixture.node->admin_port());
    client.send(text);
    const std::string response = client.read_message();
    EXPECT_TRUE(contains(response, "HTTP/1.1 " + status)) << response << text.substr(0, 100);
    EXPECT_TRUE(client.closed_by_peer()) << "a connection carries only one request";
  }
  TestSocket silent = TestSocket::connect_to(fixture.node->admin_port());
  TestSocket incomplete = TestSocket::connect_to(fixture.node->admin_port());
  incomplete.send("GET /ready HTTP/1.1\r\n");
  EXPECT_TRUE(contains(incomplete.read_message(), "HTTP/1.1 408 "));
  EXPECT_TRUE(incomplete.closed_by_peer());
  EXPECT_TRUE(silent.closed_by_peer());
}

TEST(AdminServer, RespondsDespiteStalledConnections) {
  NodeFixture fixture;
  fixture.enable_admin_server();
  fixture.config.max_sockets = 100;
  fixture.start_with_one_server();
  std::vector<TestSocket> stalled;
  for (int i = 0; i < 60; ++i) {
    stalled.push_back(TestSocket::connect_to(fixture.node->admin_port()));
    if (i % 2 == 0) stalled.back().send("GET /metrics HTTP/1.1\r\n");
    stalled.push_back(fixture.connect_client());
  }
  EXPECT_TRUE(contains(fixture.admin_get("/ready"), "HTTP/1.1 200 "));
  EXPECT_EQ(fixture.metric("members"), 1);
  TestSocket client = fixture.connect_client();
  const TestSocket server = fixture.forward(client);
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 ")) << "clients of the node are served, too";
}

TEST(AdminServer, UnusableAddressEndsProcess) {
  NodeFixture fixture;
  for (const auto& [address, code] : {std::pair{std::string("nowhere"), 2},
                                      {"127.0.0.1:" + std::to_string(fixture.servers[0].port()), 1}}) {
    fixture.config.admin_address = address;
    NodeProcess node(fixture.config.to_json());
    EXPECT_EQ(node.wait_for_exit(), code);
    EXPECT_TRUE(contains(node.read_log_until(""), "load-balancer-node: ")) << node.read_log_until("");
  }
}

TEST(Metrics, ArePublishedFromTheStart) {
  NodeFixture fixture;
  fixture.enable_admin_server();
  fixture.start();
  const std::string metrics = fixture.admin_get("/metrics");
  EXPECT_TRUE(contains(metrics,
                       "app.downstream_requests.mark.completed:0|c\n"
                       "app.downstream_requests.mark.rejected:0|c\n"
                       "app.downstream_requests.mark.failed:0|c\n"
                       "app.downstream_requests.close.completed:0|c\n"
                       "app.downstream_requests.close.rejected:0|c\n"
                       "app.downstream_requests.close.failed:0|c\n"
                       "app.upstream_requests:0|c\n"
                       "app.pending:0|g\n"
                       "app.members:0|g\n"
                       "app.members_unavailable:0|g\n"))
      << metrics;
}

TEST(Metrics, CountRequestsByTheirOutcome) {
  NodeFixture fixture;
  fixture.enable_admin_server();
  fixture.start_with(fixture.both_server_entries() + "," + endpoint("s2", 1, "leaving"));
  const std::string close = "downstream_requests.close.", mark = "downstream_requests.mark.";
  EXPECT_EQ(fixture.metric("members"), 3);
  EXPECT_EQ(fixture.metric("members_unavailable"), 1);

  // A request that its first server has not begun is retried, and counts as one completed request.
  TestSocket client = fixture.connect_client();
  client.send(request("close"));
  TestSocket first = fixture.accept_at_either_server();
  first.read_message();
  first.send(not_started_response_with_close());
  TestSocket second = fixture.accept_at_either_server();
  second.read_message();
  EXPECT_EQ(fixture.metric("pending"), 1);
  EXPECT_EQ(fixture.metric("upstream_requests"), 2);
  EXPECT_EQ(fixture.metric(close + "completed"), 0);
  second.send(ok_response());
  client.read_message();
  EXPECT_EQ(fixture.metric(close + "completed"), 1);
  EXPECT_EQ(fixture.metric("pending"), 0);

  // A request that may have run on a server which responds with an error counts as failed.
  client.send(request_with_id("close", "r2"));
  wait_until([&] { return !second.is_idle() || !fixture.servers_are_idle(); });
  TestSocket third = second.is_idle() ? fixture.accept_at_either_server() : std::move(second);
  third.read_message();
  third.send(with_content_length("HTTP/1.1 500 Error\r\nConnection: close\r\n", ""));
  client.read_message();
  EXPECT_EQ(fixture.metric(close + "failed"), 1);
  EXPECT_EQ(fixture.metric("upstream_requests"), 3);

  // A request whose client departs counts neither as completed nor as rejected.
  TestSocket departing = fixture.connect_client();
  departing.send(request_with_id("mark", "r3"));
  wait_until([&] { return fixture.metric("pending") == 1; });
  departing.close();
  wait_until([&] { return fixture.metric("pending") == 0; });
  EXPECT_EQ(fixture.metric(mark + "completed") + fixture.metric(mark + "rejected"), 0);

  // A request is rejected if there is no server.
  fixture.announce_snapshot(8, "");
  wait_until([&] { return fixture.metric("members") == 0; });
  TestSocket rejected = fixture.connect_client();
  rejected.send(request_with_id("mark", "r4"));
  EXPECT_TRUE(contains(rejected.read_message(), "HTTP/1.1 503 "));
  EXPECT_EQ(fixture.metric(mark + "rejected"), 1);
  EXPECT_EQ(fixture.metric(close + "completed"), 1) << "counters never decrease";
}

}  // namespace
}  // namespace asterdrift::node::testing
