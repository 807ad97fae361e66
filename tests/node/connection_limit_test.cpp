// Limits on connections, file descriptors and memory, with many, idle or slow clients.
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "support/long_timeout_fixture.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

// Returns clients that have connected and send nothing.
std::vector<TestSocket> connect_silent_clients(const NodeFixture& fixture, std::size_t count) {
  std::vector<TestSocket> clients;
  clients.reserve(count);
  for (std::size_t i = 0; i < count; ++i) clients.push_back(fixture.connect_client());
  return clients;
}

// Returns a client that has received a response and stays connected.
TestSocket connect_keep_alive_client(const NodeFixture& fixture) {
  TestSocket client = fixture.connect_client();
  client.send("GET /healthz HTTP/1.1\r\n\r\n");
  client.read_message();
  return client;
}

// The number of client connections that a node with max_sockets = 100 keeps open.
constexpr int kMaxConnectionsWith100Sockets = 33;

// A node that may open at most 100 sockets, and one server.
struct FewSocketsFixture : NodeFixture {
  FewSocketsFixture() {
    config.max_sockets = 100;
    start_with_one_server();
  }
};

TEST(ConnectionLimit, SilentConnectionsDoNotBlockNewClients) {
  FewSocketsFixture fixture;
  const std::vector<TestSocket> silent_clients = connect_silent_clients(fixture, 120);
  TestSocket client = fixture.connect_client();
  fixture.expect_served(client);
}

TEST(ConnectionLimit, SilentAndSlowConnectionsAreClosedWithinThreeSeconds) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  const Stopwatch stopwatch;
  TestSocket silent = fixture.connect_client(), with_partial_head = fixture.connect_client(),
             with_partial_body = fixture.connect_client();
  with_partial_head.send("POST /api HTTP/1.1\r\nRequest-Id:");
  with_partial_body.send(request_head("close") + "Content-Length: 100\r\n\r\nhalf");
  EXPECT_TRUE(silent.closed_by_peer());
  EXPECT_TRUE(contains(with_partial_head.read_message(), "HTTP/1.1 408 "));
  EXPECT_TRUE(contains(with_partial_body.read_message(), "HTTP/1.1 408 "));
  EXPECT_LT(stopwatch.seconds(), 3);
}

TEST(ConnectionLimit, KeepAliveConnectionsAndSlowHeadsDoNotBlockNewClients) {
  FewSocketsFixture fixture;
  std::vector<TestSocket> clients;
  for (int i = 0; i < 100; ++i) {
    const bool is_slow = i % 2 == 0;
    clients.push_back(is_slow ? fixture.connect_client() : connect_keep_alive_client(fixture));
    if (is_slow) clients.back().send("POST /api HTTP/1.1\r\nRequest-Id:");
  }
  TestSocket client = fixture.connect_client();
  fixture.expect_served(client);
}

// Connections are evicted only while a client is waiting to be accepted, not after the last one has been
// accepted.
TEST(ConnectionLimit, NoConnectionIsEvictedWhileNoClientIsWaiting) {
  NodeFixture fixture;
  fixture.config.max_sockets = 100;
  fixture.enable_admin_server();
  fixture.start_with_one_server();
  std::vector<TestSocket> keep_alive_clients;
  keep_alive_clients.reserve(100);
  for (int i = 0; i < 100; ++i) keep_alive_clients.push_back(connect_keep_alive_client(fixture));
  EXPECT_GT(fixture.metric("downstream_evictions.idle.recent"), 0);
  EXPECT_EQ(fixture.metric("downstream_evictions.without_waiting_client"), 0);
}

// All connections are held by clients whose requests have just begun to arrive. One of these connections is
// evicted after a short time, and not only at its read timeout.
TEST(ConnectionLimit, ClientIsServedSoonWhilePartialRequestsHoldAllConnections) {
  FewSocketsFixture fixture;
  fixture.node->suspend();  // the node is suspended so that it accepts all connections at once
  std::vector<TestSocket> slow_clients;
  for (int i = 0; i < kMaxConnectionsWith100Sockets; ++i) {
    slow_clients.push_back(fixture.connect_client());
    slow_clients.back().send("POST /api HTTP/1.1\r\nRequest-Id:");
  }
  TestSocket client = fixture.connect_client();
  const Stopwatch stopwatch;
  fixture.node->resume();
  fixture.expect_served(client);
  EXPECT_LT(stopwatch.seconds(), 1);
}

// Evictions are counted in the metrics, and their number is logged.
TEST(ConnectionLimit, EvictionsAreCountedAndLogged) {
  NodeFixture fixture;
  fixture.config.max_sockets = 100;
  fixture.enable_admin_server();
  fixture.start_with_one_server();
  EXPECT_EQ(fixture.metric("downstream_evictions.idle.recent"), 0);
  std::vector<TestSocket> keep_alive_clients;
  keep_alive_clients.reserve(40);
  for (int i = 0; i < 40; ++i) keep_alive_clients.push_back(connect_keep_alive_client(fixture));
  EXPECT_GT(
      fixture.metric("downstream_evictions.idle.recent") + fixture.metric("downstream_evictions.idle.older"),
      0);
  EXPECT_TRUE(contains(fixture.node->read_log_until("while no client was waiting"),
                       "downstream connections evicted: "));
}

// New connections evict idle keep-alive connections, not other new connections.
TEST(ConnectionLimit, NewConnectionsDoNotEvictEachOther) {
  FewSocketsFixture fixture;
  std::vector<TestSocket> keep_alive_clients;
  keep_alive_clients.reserve(40);
  for (int i = 0; i < 40; ++i) keep_alive_clients.push_back(connect_keep_alive_client(fixture));
  TestSocket client = fixture.connect_client();
  std::vector<TestSocket> new_clients = connect_silent_clients(fixture, 10);
  new_clients.back().send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(contains(new_clients.back().read_message(), " 200 ")) << "all new clients are connected";
  fixture.expect_served(client);
}

// Incomplete bodies occupy memory. When they occupy a certain fraction of the memory limit, the node rejects
// requests.
TEST(ConnectionLimit, RequestsAreRejectedWhenBodiesFillTheMemory) {
  NodeFixture fixture;
  fixture.config.max_memory_mb = 16;
  fixture.start_with_one_server();
  std::vector<TestSocket> uploads;
  bool is_full = false;
  for (int i = 0; i < 100 && !is_full; ++i) {
    uploads.push_back(fixture.connect_client());
    uploads.back().send(request_head("close", "h" + std::to_string(i)) + "Content-Length: 65536\r\n\r\nhalf");
    TestSocket probe = fixture.connect_client();
    probe.send(request_head("close", "p") + "Content-Length: 65536\r\n\r\n");
    is_full = !probe.is_idle(20ms) && contains(probe.read_message(), "HTTP/1.1 503 ");
  }
  EXPECT_TRUE(is_full);
  EXPECT_GT(uploads.size(), 20U);
  uploads.clear();
  wait_until([&] {
    TestSocket client = fixture.connect_client();
    client.send(request("close"));
    if (client.is_idle(50ms)) return true;
    client.read_message();
    return false;
  });
}

TEST(ConnectionLimit, NodeSurvivesRunningOutOfDescriptors) {
  NodeFixture fixture;
  fixture.node =
      std::make_unique<NodeProcess>(fixture.config.to_json(), NodeProcessOptions{.descriptor_limit = 24});
  fixture.accept_watch();
  fixture.announce_snapshot(7, fixture.server_entry(0));
  fixture.wait_until_ready();
  std::vector<TestSocket> silent_clients = connect_silent_clients(fixture, 40);
  silent_clients.back().send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(contains(silent_clients.back().read_message(), " 200 "))
      << "older silent connections have been closed";
  silent_clients.clear();
  TestSocket client = fixture.connect_client();
  fixture.expect_served(client);
}

constexpr int kFewDescriptors = 64;

enum class ClientKind { kSilent, kKeepAlive };

const char* to_string(ClientKind kind) { return kind == ClientKind::kSilent ? "silent" : "keep-alive"; }

// A node with few file descriptors, all of which are used by clients, servers and admin connections.
struct FewDescriptorsFixture : KeepAliveFixture {
  explicit FewDescriptorsFixture(bool awaits_watch) {
    config.awaits_watch = awaits_watch;
    config.max_sockets = kFewDescriptors;
    node = std::make_unique<NodeProcess>(config.to_json(),
                                         NodeProcessOptions{.descriptor_limit = kFewDescriptors});
    accept_watch();
    std::string entries;
    for (int i = 0; i < 20; ++i) {
      entries += (i > 0 ? "," : "") + endpoint("s" + std::to_string(i), servers[0].port());
    }
    announce_snapshot(7, entries);
    wait_until_ready();
  }
  // Makes the node open as many upstream connections as it may. The node rejects the request that would need
  // one more.
  void open_all_upstream_connections() {
    std::vector<TestSocket> clients;
    for (int i = 0;; ++i) {
      clients.push_back(connect_client());
      clients.back().send(request_with_id("close", "fill" + std::to_string(i)));
      wait_until([&] { return !servers[0].is_idle() || !clients.back().is_idle(); });
      if (servers[0].is_idle()) break;
      upstream_connections.push_back(servers[0].accept());
      upstream_connections.back().read_message();
    }
    EXPECT_TRUE(contains(clients.back().read_message(), " 503 "));
    for (const TestSocket& server : upstream_connections) server.send(ok_response());
    clients.pop_back();
    for (TestSocket& client : clients) EXPECT_TRUE(contains(client.read_message(), " 200 "));
    EXPECT_GE(upstream_connections.size(), 8U);
  }
  // Opens far more client connections than the node allows, and 20 idle admin connections.
  void open_too_many_connections(ClientKind kind) {
    for (int i = 0; i < 2 * kFewDescriptors; ++i) {
      idle_clients.push_back(kind == ClientKind::kKeepAlive ? connect_keep_alive_client(*this)
                                                            : connect_client());
    }
    for (int i = 0; i < 20; ++i) idle_admin_clients.push_back(TestSocket::connect_to(node->admin_port()));
  }
  // Sends a request that the listener has to serve, and returns the response that the client receives.
  std::string response_from(const ListeningSocket& listener) const {
    TestSocket client = connect_client();
    client.send(request_with_id("close", "new"));
    TestSocket server = listener.accept();
    server.read_message();
    server.send(ok_response("heard"));
    return client.read_message();
  }
  // Sends an event on the watch repeatedly until a metric becomes 1. Accepts a new watch if the node has
  // reopened the watch, as it does after a long silence, which may occur while a test waits.
  void announce_until_metric_is_1(const ListeningSocket& current_discovery, const std::string& event,
                                  const std::string& metric_name) {
    wait_until([&] {
      if (!watch.is_open() || !current_discovery.is_idle()) {
        watch = current_discovery.accept();
        watch.read_message();
        watch.send(kChunkedResponseHead);
      }
      send_on_watch(event);
      return metric(metric_name) == 1;
    });
  }

  std::vector<TestSocket> upstream_connections, idle_clients, idle_admin_clients;
};

// Expects that a node reaches discovery and a new server while clients use all connections that it allows.
// discovery_moves: whether discovery gets another address; if not, it becomes reachable again at its old one.
void expect_discovery_reachable(ClientKind kind, bool awaits_watch, bool discovery_moves) {
  SCOPED_TRACE(::testing::Message() << to_string(kind) << " clients, awaits watch " << awaits_watch
                                    << ", discovery moves " << discovery_moves);
  FewDescriptorsFixture fixture(awaits_watch);
  fixture.open_all_upstream_connections();
  fixture.discovery.stop_listening();
  fixture.watch.reset();
  fixture.node->read_log_until("keeping the last endpoint list");
  fixture.open_too_many_connections(kind);
  const ListeningSocket other_discovery, new_server;
  discovery_moves ? fixture.node->reload(fixture.config_with_discovery(other_discovery))
                  : fixture.discovery.resume_listening();
  const ListeningSocket& discovery = discovery_moves ? other_discovery : fixture.discovery;
  fixture.announce_until_metric_is_1(discovery, snapshot_event(8, endpoint("s99", new_server.port())),
                                     "members");
  EXPECT_TRUE(contains(fixture.response_from(new_server), "heard"));
  EXPECT_TRUE(contains(fixture.health_response(), " 200 "));
  fixture.announce_until_metric_is_1(
      discovery, snapshot_event(9, endpoint("s99", new_server.port(), "leaving")), "members_unavailable");
  const std::string response = fixture.health_response();
  EXPECT_TRUE(contains(response, " 503 ")) << response;
}

TEST(ConnectionLimit, IdleClientsDoNotBlockDiscoveryOrNewServers) {
  for (const ClientKind kind : {ClientKind::kKeepAlive, ClientKind::kSilent}) {
    for (const bool awaits_watch : {false, true}) {
      for (const bool discovery_moves : {false, true}) {
        expect_discovery_reachable(kind, awaits_watch, discovery_moves);
      }
    }
  }
}

}  // namespace
}  // namespace asterdrift::node::testing
