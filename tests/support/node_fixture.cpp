// Runs a node among scripted peers: clients, two servers and the discovery service.
#include "support/node_fixture.h"

namespace asterdrift::node::testing {

std::string NodeFixture::config_with_discovery(const ListeningSocket& other_discovery) const {
  NodeTestConfig changed = config;
  changed.discovery_port = other_discovery.port();
  return changed.to_json();
}

std::string NodeFixture::server_entry(std::size_t index, const std::string& health) const {
  return endpoint("s" + std::to_string(index), servers[index].port(), health);
}

std::string NodeFixture::both_server_entries() const { return server_entry(0) + "," + server_entry(1); }

std::string NodeFixture::accept_watch() {
  watch = discovery.accept();
  std::string watch_request = watch.read_message();
  watch.send(kChunkedResponseHead);
  return watch_request;
}

void NodeFixture::announce_snapshot(int sequence, const std::string& entries) {
  send_on_watch(snapshot_event(static_cast<unsigned>(sequence), entries));
}

void NodeFixture::announce_changes(int sequence, const std::string& entries) {
  send_on_watch(incremental_event(static_cast<unsigned>(sequence), entries));
}

void NodeFixture::start_with(const std::string& entries) {
  start();
  accept_watch();
  announce_snapshot(7, entries);
  wait_until_ready();
}

void NodeFixture::wait_until_ready() const {
  wait_until([&] { return contains(health_response(), " 200 "); });
}

TestSocket NodeFixture::forward(const TestSocket& client, const std::string& text) const {
  client.send(text);
  TestSocket server = servers[0].accept();
  server.read_message();
  return server;
}

ForwardedRequest NodeFixture::start_with_forwarded_request(const std::string& text) {
  start_with_one_server();
  TestSocket client = connect_client();
  TestSocket server = forward(client, text);
  return {std::move(client), std::move(server)};
}

ForwardedRequest NodeFixture::start_with_request_to_either(const std::string& text) {
  start_with_both_servers();
  TestSocket client = connect_client();
  client.send(text);
  TestSocket server = accept_at_either_server();
  server.read_message();
  return {std::move(client), std::move(server)};
}

TestSocket NodeFixture::start_with_waiting_request(const SlowAcceptingServer& server,
                                                   const std::string& text) {
  start_with(endpoint("s0", server.port()));
  TestSocket client = connect_client();
  client.send(text);
  wait_until([&] { return connection_attempt_to(server.port()); });
  return client;
}

TestSocket NodeFixture::accept_at_either_server() const {
  return ListeningSocket::accept_from_either(servers[0], servers[1]);
}

void NodeFixture::expect_served(TestSocket& client) const {
  const TestSocket server = forward(client);
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
}

void NodeFixture::request_until_served_by(TestSocket& client, const ListeningSocket& server) const {
  wait_until([&] {
    client.send(request("close"));
    wait_until([&] { return !client.is_idle() || !servers_are_idle(); });
    if (!client.is_idle()) return client.read_message().empty();  // rejected: no server is available
    TestSocket connection = accept_at_either_server();
    // A connection without a request belongs to an attempt that a change of the endpoint list has cancelled.
    while (connection.read_message().empty()) connection = accept_at_either_server();
    connection.send(ok_response_with_close());
    client.read_message();
    return connection.local_port() == server.port();
  });
}

std::string NodeFixture::health_response() const {
  TestSocket client = connect_client();
  client.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  return client.read_message();
}

std::string NodeFixture::admin_get(const std::string& path) const {
  TestSocket client = TestSocket::connect_to(node->admin_port());
  client.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  return client.read_message();
}

long NodeFixture::metric(const std::string& name) const {
  const std::string metrics = admin_get("/metrics");
  const std::string line_start = "\napp." + name + ":";
  const std::size_t position = metrics.find(line_start);
  return position == std::string::npos ? -1 : std::stol(metrics.substr(position + line_start.size()));
}

}  // namespace asterdrift::node::testing
