// The watch on discovery: failures, silence, and changes of discovery's address.
#include <chrono>
#include <csignal>
#include <string>
#include <utility>

#include "support/long_timeout_fixture.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

TEST(Discovery, NodeIsReadyOnceItHasEndpoints) {
  NodeFixture fixture;
  fixture.start();
  EXPECT_TRUE(contains(fixture.health_response(), " 503 "));
  EXPECT_TRUE(contains(fixture.accept_watch(), kSnapshotRequestLine)) << "the first poll requests a snapshot";
  fixture.announce_snapshot(7, fixture.both_server_entries());
  fixture.wait_until_ready();
}

TEST(Discovery, WatchIsReopenedAndListIsKeptAfterABrokenWatch) {
  NodeFixture fixture;
  fixture.config.known_endpoints = snapshot(3, fixture.server_entry(0));
  fixture.start();
  fixture.discovery.accept().send(with_content_length("HTTP/1.1 503 Busy\r\n", ""));
  fixture.wait_until_ready();
  EXPECT_TRUE(contains(fixture.accept_watch(), "stream=1&index=3 "));
  fixture.send_on_watch("\n");
  fixture.watch.send("20\r\n{\"seq\":4,\"whole\":true,\"ho");  // a list that is truncated
  fixture.watch.close();
  EXPECT_TRUE(contains(fixture.accept_watch(), "stream=1&index=3 "));
  fixture.send_on_watch("{\"seq\":5,\"whole\":true,\"hosts\":[{\"host\":7}]}\n");  // invalid
  EXPECT_TRUE(contains(fixture.accept_watch(), "GET /v1/servers?stream=1 HTTP"))
      << "a poll after an invalid list requests a snapshot";
  TestSocket client = fixture.connect_client();
  fixture.expect_served(client);
}

TEST(Discovery, SilentWatchIsReopened) {
  NodeFixture fixture;
  fixture.start_with_both_servers();
  EXPECT_TRUE(fixture.watch.closed_by_peer());
  EXPECT_TRUE(contains(fixture.accept_watch(), "stream=1&index=7 "));
}

// A change counts as notified after 6 s. If two silent watches in a row took that long, the node would send
// requests to a draining server.
TEST(Discovery, SilentWatchIsReopenedBeforeItsChangesCountAsNotified) {
  NodeFixture fixture;
  fixture.start_with_both_servers();
  const auto last_list_at = std::chrono::steady_clock::now();
  TestSocket silent = fixture.discovery.accept();
  EXPECT_TRUE(contains(silent.read_message(), "stream=1&index=7 "));
  EXPECT_LT(std::chrono::steady_clock::now() - last_list_at, std::chrono::seconds(5));
  EXPECT_TRUE(contains(fixture.accept_watch(), "stream=1&index=7 "))
      << "the watch is reopened again, after no response at all";
}

TEST(Discovery, WatchMigratesOnSighup) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  for (int round = 0; round < 2; ++round) {
    const ListeningSocket other_discovery;
    fixture.node->reload(fixture.config_with_discovery(other_discovery));
    TestSocket new_watch = other_discovery.accept();
    EXPECT_TRUE(contains(new_watch.read_message(), kSnapshotRequestLine))
        << "the poll of the new address requests a snapshot";
    EXPECT_TRUE(fixture.watch.is_idle()) << "the old watch stays until the new one has a list";
    fixture.announce_snapshot(8, fixture.server_entry(1));
    TestSocket client = fixture.connect_client();
    const auto request_until_served_by = [&](const ListeningSocket& listener) {
      wait_until([&] {
        client.send(request("close"));
        TestSocket server = fixture.accept_at_either_server();
        server.read_message();
        server.send(ok_response_with_close());
        client.read_message();
        return server.local_port() == listener.port();
      });
    };
    request_until_served_by(fixture.servers[1]);  // lists of the old watch are still applied
    new_watch.send(kChunkedResponseHead);
    EXPECT_TRUE(fixture.watch.is_idle());
    new_watch.send(chunk(snapshot_event(3, fixture.server_entry(0))));
    EXPECT_TRUE(fixture.watch.closed_by_peer());
    request_until_served_by(fixture.servers[0]);
    fixture.watch = std::move(new_watch);
  }
}

TEST(Discovery, NewAddressIsPolledUntilItResponds) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  const ListeningSocket other_discovery;
  fixture.node->reload(fixture.config_with_discovery(other_discovery));
  other_discovery.accept().send(with_content_length("HTTP/1.1 503 Busy\r\n", ""));
  TestSocket second_watch = other_discovery.accept();
  fixture.watch.close();  // now only the new address is left
  second_watch.reset();
  EXPECT_TRUE(contains(other_discovery.accept().read_message(), kSnapshotRequestLine));
  EXPECT_TRUE(contains(fixture.health_response(), " 200 ")) << "the node serves with the last list";
}

TEST(Discovery, WatchMigratesDuringDiscoveryOutageAndDuringDrain) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  fixture.discovery.close();
  fixture.watch.close();
  fixture.node->read_log_until("keeping the last endpoint list");
  const ListeningSocket second_discovery, third_discovery;
  fixture.node->reload(fixture.config_with_discovery(second_discovery));
  TestSocket watch = second_discovery.accept();
  EXPECT_TRUE(contains(watch.read_message(), kSnapshotRequestLine));
  watch.send(kChunkedResponseHead);
  watch.send(chunk(snapshot_event(1, fixture.server_entry(0))));
  TestSocket client = fixture.connect_client();
  const TestSocket server = fixture.forward(client);
  fixture.node->signal(SIGTERM);
  fixture.node->read_log_until("draining");
  fixture.node->reload(fixture.config_with_discovery(third_discovery));
  EXPECT_TRUE(contains(third_discovery.accept().read_message(), kSnapshotRequestLine));
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
  EXPECT_EQ(fixture.node->wait_for_exit(), 0);
}

// The JSON text with line breaks and indentation.
std::string indented(const std::string& json) {
  std::string result;
  for (const char character : json) {
    result += character;
    if (character == '{' || character == '[' || character == ',') result += "\r\n    ";
  }
  return result;
}

TEST(Discovery, ListsMayBeIndentedAndSplitAnywhere) {
  for (const std::size_t chunk_size : {std::size_t{1}, std::size_t{7}, std::size_t{100000}}) {
    LongTimeoutFixture fixture;
    fixture.start();
    fixture.accept_watch();
    const auto send_in_chunks = [&](const std::string& text) {
      for (std::size_t position = 0; position < text.size(); position += chunk_size) {
        fixture.send_on_watch(text.substr(position, chunk_size));
      }
    };
    // Brackets in a string are not part of the list's structure.
    const std::string bracketed = endpoint("s}]\\\"", fixture.servers[1].port(), "leaving");
    send_in_chunks(indented(snapshot_event(7, fixture.server_entry(0) + "," + bracketed)) + "\n");
    fixture.wait_until_ready();
    TestSocket client = fixture.connect_client();
    fixture.request_until_served_by(client, fixture.servers[0]);
    EXPECT_EQ(fixture.metric("members"), 2);
    send_in_chunks(indented(incremental_event(8, fixture.server_entry(1))) +
                   indented(incremental_event(9, fixture.server_entry(0, "leaving"))));
    fixture.request_until_served_by(client, fixture.servers[1]);
    // After a truncated list, the last valid list stays in use.
    const std::string last_list = indented(snapshot_event(10, fixture.server_entry(0)));
    send_in_chunks(last_list.substr(0, last_list.size() - 5));
    fixture.watch.close();
    EXPECT_TRUE(contains(fixture.accept_watch(), "stream=1&index=9 "));
    fixture.request_until_served_by(client, fixture.servers[1]);
  }
}

TEST(Discovery, InvalidListEndsItsWatch) {
  LongTimeoutFixture fixture;
  fixture.start_with_one_server();
  const std::string line_end_in_string = std::string(R"({"seq":8,"ho)") + "\n";
  for (const std::string& invalid : {std::string(R"({"seq":8,"hosts":[})"), line_end_in_string,
                                     std::string("]"), std::string("seq"), std::string(R"({"seq":8})")}) {
    fixture.send_on_watch(invalid);
    EXPECT_TRUE(fixture.watch.closed_by_peer()) << invalid;
    EXPECT_TRUE(contains(fixture.accept_watch(), kSnapshotRequestLine)) << invalid;
    fixture.announce_snapshot(7, fixture.server_entry(0));
  }
  TestSocket client = fixture.connect_client();
  fixture.request_until_served_by(client, fixture.servers[0]);
}

// Bytes that complete neither a line nor a list do not restart the silence timeout.
TEST(Discovery, WatchWithoutCompleteLinesIsReopened) {
  for (const std::string prefix : {"", "{\"seq\":8,"}) {
    LongTimeoutFixture fixture;
    fixture.start_with_one_server();
    fixture.send_on_watch(prefix + " ");
    wait_until([&] {
      fixture.send_on_watch(prefix.empty() ? " " : "\n");
      return !fixture.watch.is_idle(50ms);
    });
    EXPECT_TRUE(fixture.watch.closed_by_peer());
    EXPECT_TRUE(contains(fixture.accept_watch(), "stream=1&index=7 "));
  }
}

// An agent that pushes lists is polled again almost at once, since the first list after an outage counts as
// notified immediately.
TEST(Discovery, SilentAgentIsPolledAgainAtOnce) {
  LongTimeoutFixture fixture;
  fixture.config.awaits_watch = false;
  fixture.start_with_one_server();
  double total_gap_s = 0;
  TestSocket silent = std::move(fixture.watch);
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(silent.closed_by_peer());
    const Stopwatch stopwatch;
    silent = fixture.discovery.accept();
    total_gap_s += stopwatch.seconds();
    EXPECT_TRUE(contains(silent.read_message(), "stream=1&index=7 "));
  }
  EXPECT_LT(total_gap_s, 2) << "about half a second in total, and more on a busy machine";
  silent.send(kChunkedResponseHead + chunk(snapshot_event(8, fixture.server_entry(1))));
  TestSocket client = fixture.connect_client();
  fixture.request_until_served_by(client, fixture.servers[1]);
}

// Guards against draining servers that get requests since an agent whose watches end is not polled for
// seconds: in a large fleet, some twenty snapshots had used up the byte budget of polls.
TEST(Discovery, AgentIsPolledAgainAtOnceAfterManyLongSnapshots) {
  constexpr int kSnapshots = 32;
  constexpr int kServers = 3200;
  constexpr double kDrainGrace = 0.35;
  LongTimeoutFixture fixture;
  fixture.config.awaits_watch = false;
  fixture.enable_admin_server();
  std::string entries = fixture.server_entry(0);
  int listed = 1;
  const auto add_draining_server = [&] {
    entries += "," + endpoint("other-" + std::to_string(listed++), 1, "leaving");
  };
  while (listed < kServers) add_draining_server();
  fixture.start_with(entries);
  double total_gap_s = 0;
  for (int i = 0; i < kSnapshots; ++i) {
    wait_until([&] { return fixture.metric("members") == listed; });  // the node has read the snapshot
    fixture.watch.send("0\r\n\r\n");                                  // ends the watch properly
    const Stopwatch stopwatch;
    fixture.accept_watch();
    total_gap_s += stopwatch.seconds();
    add_draining_server();
    fixture.announce_snapshot(8 + i, entries);
  }
  EXPECT_LT(total_gap_s, kSnapshots * kDrainGrace) << "some 3 s in total, and more on a busy machine";
}

// The old watch receives no more lists, and the new address does not respond at first.
TEST(Discovery, WatchMigratesWhileBothAddressesAreSilent) {
  for (const bool awaits_watch : {false, true}) {
    LongTimeoutFixture fixture;
    fixture.config.awaits_watch = awaits_watch;
    fixture.start_with_one_server();
    const ListeningSocket other_discovery;
    fixture.node->reload(fixture.config_with_discovery(other_discovery));
    TestSocket silent = other_discovery.accept();
    EXPECT_TRUE(contains(silent.read_message(), kSnapshotRequestLine));
    EXPECT_TRUE(silent.closed_by_peer());
    TestSocket new_watch = other_discovery.accept();
    EXPECT_TRUE(contains(new_watch.read_message(), kSnapshotRequestLine))
        << "the second poll also requests a snapshot";
    EXPECT_TRUE(fixture.discovery.is_idle()) << "the old address gets no further poll";
    new_watch.send(kChunkedResponseHead + chunk(indented(snapshot_event(3, fixture.server_entry(1)))));
    EXPECT_TRUE(fixture.watch.closed_by_peer());
    TestSocket client = fixture.connect_client();
    fixture.request_until_served_by(client, fixture.servers[1]);
  }
}

}  // namespace
}  // namespace asterdrift::node::testing
