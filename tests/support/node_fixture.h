// Runs a node among scripted peers: clients, two servers and the discovery service.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include "support/connection_table.h"
#include "support/discovery_messages.h"
#include "support/http_messages.h"
#include "support/loopback_socket.h"
#include "support/node_messages.h"
#include "support/node_process.h"
#include "support/node_test_config.h"
#include "support/slow_accepting_server.h"
#include "support/text.h"
#include "support/wait_until.h"

namespace asterdrift::node::testing {

using test_support::all_read_from;
using test_support::chunk;
using test_support::connection_attempt_to;
using test_support::contains;
using test_support::Environment;
using test_support::incremental_event;
using test_support::kChunkedResponseHead;
using test_support::ListeningSocket;
using test_support::repeated;
using test_support::ReservedPort;
using test_support::snapshot;
using test_support::snapshot_event;
using test_support::Stopwatch;
using test_support::TestSocket;
using test_support::wait_until;
using test_support::with_content_length;

// The connections of a request that the node has forwarded and a server has read.
struct ForwardedRequest {
  TestSocket client;
  TestSocket server;
};

// A node and its scripted peers. The node is beyond tier 0, so that it forwards every request. `config` is
// read when the node starts.
struct NodeFixture {
  NodeFixture() { config.discovery_port = discovery.port(); }

  ListeningSocket discovery;
  std::array<ListeningSocket, 2> servers;
  NodeTestConfig config;
  std::unique_ptr<NodeProcess> node;
  TestSocket watch;  // the node's connection to discovery

  // Configuration.
  void enable_admin_server() { config.admin_address = NodeTestConfig::kAnyPort; }
  // Returns `config` with the address of another discovery service.
  std::string config_with_discovery(const ListeningSocket& other_discovery) const;

  // Discovery.
  // Returns the endpoint entry of servers[index], whose name is "s0" or "s1".
  std::string server_entry(std::size_t index, const std::string& health = "active") const;
  std::string both_server_entries() const;
  // Accepts the node's watch and sends the head of its response. Returns the node's request.
  std::string accept_watch();
  // Sends one chunk on the watch.
  void send_on_watch(const std::string& text) { watch.send(chunk(text)); }
  void announce_snapshot(int sequence, const std::string& entries);
  void announce_changes(int sequence, const std::string& entries);

  // Start.
  void start() { node = std::make_unique<NodeProcess>(config.to_json()); }
  // Starts the node, announces a snapshot with sequence number 7, and waits until the node is ready.
  void start_with(const std::string& entries);
  void start_with_one_server() { start_with(server_entry(0)); }
  void start_with_both_servers() { start_with(both_server_entries()); }
  void wait_until_ready() const;

  // Requests.
  TestSocket connect_client() const { return TestSocket::connect_to(node->port()); }
  // Sends a request, which the first server accepts and reads. Returns the server's end of the connection.
  TestSocket forward(const TestSocket& client, const std::string& text = request("close")) const;
  // Starts with one server, which accepts and reads a request.
  ForwardedRequest start_with_forwarded_request(const std::string& text = request("close"));
  // Starts with both servers, of which one accepts and reads a request.
  ForwardedRequest start_with_request_to_either(const std::string& text = request("close"));
  // Starts with one slow-accepting server and sends a request. Returns the client's connection as soon as the
  // node waits for its connection to the server.
  TestSocket start_with_waiting_request(const SlowAcceptingServer& server,
                                        const std::string& text = request("close"));
  // Accepts the node's connection to one of the servers.
  TestSocket accept_at_either_server() const;
  bool servers_are_idle() const { return servers[0].is_idle() && servers[1].is_idle(); }
  // Sends a request of `client`, lets the first server respond, and expects that `client` gets the response.
  void expect_served(TestSocket& client) const;
  // Repeats a request of `client` until the response comes from `server`.
  void request_until_served_by(TestSocket& client, const ListeningSocket& server) const;

  // Health and metrics.
  std::string health_response() const;
  std::string admin_get(const std::string& path) const;
  // Returns the value of a metric, or -1 if there is no metric of this name.
  long metric(const std::string& name) const;
};

}  // namespace asterdrift::node::testing
