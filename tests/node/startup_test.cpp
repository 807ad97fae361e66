// Start and restart of a node: when the node becomes ready.
#include <csignal>
#include <memory>
#include <vector>

#include "support/fixed_address_fixture.h"
#include "support/long_timeout_fixture.h"

namespace asterdrift::node::testing {
namespace {

// The known list of a new process may be outdated, and the agent counts changes as notified from the start of
// the process.
TEST(Startup, NewProcessForwardsNothingBeforeItsFirstListFromDiscovery) {
  LongTimeoutFixture fixture;
  fixture.config.known_endpoints = snapshot(3, fixture.server_entry(0));
  fixture.start();
  fixture.discovery.accept().send(with_content_length("HTTP/1.1 503 Busy\r\n", ""));
  fixture.node->read_log_until("keeping the last endpoint list");
  TestSocket rejected_client = fixture.connect_client();
  rejected_client.send(request("close"));
  EXPECT_TRUE(contains(rejected_client.read_message(), "HTTP/1.1 503 "));
  EXPECT_TRUE(contains(fixture.health_response(), "HTTP/1.1 503 "));
  fixture.accept_watch();
  fixture.announce_changes(4, fixture.server_entry(0, "leaving") + "," + fixture.server_entry(1));
  fixture.wait_until_ready();
  TestSocket client = fixture.connect_client();
  fixture.request_until_served_by(client, fixture.servers[1]);
  EXPECT_TRUE(fixture.servers[0].is_idle());
}

// The operators require a node to be ready within 10 s, and within 6 s near the end of a day.
constexpr double kMaxStartupS = 6;

// A node that is restarted at its address, with the endpoint list of its earlier process in the
// configuration.
struct RestartedNodeFixture : FixedAddressFixture {
  explicit RestartedNodeFixture(bool awaits_watch = true) {
    config.awaits_watch = awaits_watch;
    config.known_endpoints = snapshot(3, server_entry(0));
  }
  void expect_request_served(const std::string& id) const {
    TestSocket client = connect_to_node();
    client.send(request_with_id("close", id));
    TestSocket server = servers[0].accept();
    EXPECT_TRUE(contains(server.read_message(), "Request-Id: " + id + "\r\n"));
    server.send(ok_response());
    EXPECT_TRUE(contains(client.read_message(), " 200 "));
  }
};

void expect_ready_in_time(NodeProcess& process, const Stopwatch& stopwatch) {
  wait_until([&] { return process.is_ready(); });
  EXPECT_LT(stopwatch.seconds(), kMaxStartupS);
}

std::vector<std::unique_ptr<RestartedNodeFixture>> start_nodes(bool discovery_accepts) {
  std::vector<std::unique_ptr<RestartedNodeFixture>> nodes;
  for (int i = 0; i < 6; ++i) {
    nodes.push_back(std::make_unique<RestartedNodeFixture>(i % 2 == 0));
    if (!discovery_accepts) nodes.back()->discovery.stop_listening();
    nodes.back()->node = nodes.back()->start_process();
  }
  return nodes;
}

// Several nodes are killed and restarted at the same time. One half are restarted after their processes have
// ended, the other half while the processes still own the addresses. Discovery accepts connections without a
// response, or refuses them. Clients connect before the nodes are ready.
TEST(Startup, NodesWithKnownListAreReadyWithoutDiscovery) {
  for (const bool discovery_accepts : {true, false}) {
    const auto nodes = start_nodes(discovery_accepts);
    for (const auto& node : nodes) {
      expect_ready_in_time(*node->node, Stopwatch());
      node->expect_request_served("before");
      node->set_admin_port(node->node->admin_port());
    }
    const Stopwatch stopwatch;
    std::vector<std::unique_ptr<NodeProcess>> successors;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      NodeProcess& predecessor = *nodes[i]->node;
      if (i < nodes.size() / 2) {
        predecessor.signal(SIGKILL);
        predecessor.wait_for_exit();
        successors.push_back(nodes[i]->start_process());
      } else {
        successors.push_back(nodes[i]->start_process());
        EXPECT_TRUE(contains(successors.back()->read_log_until("waiting for an address in use: "),
                             "waiting for an address in use: "));
        predecessor.signal(SIGKILL);
      }
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      successors[i]->port();
      std::vector<TestSocket> waiting_clients;
      waiting_clients.reserve(40);
      for (int count = 0; count < 40; ++count) waiting_clients.push_back(nodes[i]->connect_to_node());
      for (const TestSocket& client : waiting_clients) client.send("POST /api HTTP/1.1\r\n");
      expect_ready_in_time(*successors[i], stopwatch);
      nodes[i]->expect_request_served("after");
    }
  }
}

TEST(Startup, NodeIsReadySoonAfterDiscoveryRecovers) {
  for (const bool awaits_watch : {true, false}) {
    RestartedNodeFixture fixture(awaits_watch);
    fixture.config.known_endpoints.clear();
    fixture.discovery.stop_listening();
    const auto node = fixture.start_process();
    node->read_log_until("keeping the last endpoint list");
    EXPECT_FALSE(node->is_ready());
    fixture.discovery.resume_listening();
    const Stopwatch stopwatch;
    fixture.accept_watch();
    fixture.announce_snapshot(7, fixture.server_entry(0));
    expect_ready_in_time(*node, stopwatch);
    fixture.expect_request_served("a");
  }
}

// The predecessor still has a request in flight, or is suspended and cannot split the limits with its
// successor.
TEST(Startup, SuccessorIsReadyWhileItsPredecessorIsAlive) {
  for (const bool is_suspended : {false, true}) {
    RestartedNodeFixture fixture;
    const auto predecessor = fixture.start_process();
    expect_ready_in_time(*predecessor, Stopwatch());
    TestSocket client = fixture.connect_to_node();
    const TestSocket server = fixture.forward(client);
    if (is_suspended) {
      predecessor->suspend();
    } else {
      predecessor->signal(SIGTERM);
      predecessor->read_log_until("draining");
    }
    const Stopwatch stopwatch;
    const auto successor = fixture.start_process();
    expect_ready_in_time(*successor, stopwatch);
    if (is_suspended) {
      predecessor->resume();
      predecessor->signal(SIGTERM);
    }
    server.send(ok_response());
    EXPECT_TRUE(contains(client.read_message(), " 200 "));
    EXPECT_EQ(predecessor->wait_for_exit(), 0);
    fixture.expect_request_served("next");
  }
}

}  // namespace
}  // namespace asterdrift::node::testing
