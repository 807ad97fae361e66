// A node among scripted peers: its clients, two servers and discovery.
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

// Both ends of a request that the node has forwarded and its server has read.
struct ForwardedRequest {
  TestSocket client;
  TestSocket server;
};

// A node past tier 0, so that it forwards each request, and its scripted surroundings. `config` is read
// when the node starts.
struct NodeFixture {
  NodeFixture() { config.discovery_port = discovery.port(); }

  ListeningSocket discovery;
  std::array<ListeningSocket, 2> servers;
  NodeTestConfig config;
  std::unique_ptr<NodeProcess> node;
  TestSocket watch;  // the node's connection to discovery

  // Configuration.
  void enable_admin_server() { config.admin_address = NodeTestConfig::kAnyPort; }
  // The configuration with discovery at another address.
  std::string config_with_discovery(const ListeningSocket& other_discovery) const;

  // Discovery.
  // The entry of a server of this fixture: "s0" or "s1".
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
  // Starts with a snapshot, sequence number 7, and waits until the node is ready.
  void start_with(const std::string& entries);
  void start_with_one_server() { start_with(server_entry(0)); }
  void start_with_both_servers() { start_with(both_server_entries()); }
  void wait_until_ready() const;

  // Requests.
  TestSocket connect_client() const { return TestSocket::connect_to(node->port()); }
  // Sends a request which the first server accepts and reads. Returns the server's connection.
  TestSocket forward(const TestSocket& client, const std::string& text = request("close")) const;
  // Starts with one server, and forwards a request to it.
  ForwardedRequest start_with_forwarded_request(const std::string& text = request("close"));
  // Starts with both servers, and forwards a request to either.
  ForwardedRequest start_with_request_to_either(const std::string& text = request("close"));
  // Starts with one slow-accepting server, sends a request, and returns its client when the node waits for
  // the connection to the server.
  TestSocket start_with_waiting_request(const SlowAcceptingServer& server,
                                        const std::string& text = request("close"));
  // A connection of the node to either server.
  TestSocket accept_at_either_server() const;
  bool servers_are_idle() const { return servers[0].is_idle() && servers[1].is_idle(); }
  // Forwards a request of this client to the first server and expects its response.
  void expect_served(TestSocket& client) const;
  // Repeats a request of this client until the response comes from `server`.
  void request_until_served_by(TestSocket& client, const ListeningSocket& server) const;

  // Health and metrics.
  std::string health_response() const;
  std::string admin_get(const std::string& path) const;
  // Value of a metric; -1 where there is none of this name.
  long metric(const std::string& name) const;
};

}  // namespace asterdrift::node::testing
