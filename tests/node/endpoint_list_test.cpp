// Long endpoint lists, rejected endpoint lists, and failed polls of discovery.
#include <string>
#include <utility>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

#ifndef __SANITIZE_ADDRESS__
constexpr int kManyEndpoints = 27000;
#else
constexpr int kManyEndpoints = 10000;  // still over 1 MiB; sanitizers slow the test down ten times
#endif
constexpr int kTooManyEndpointsFor16Mb = 14000;

constexpr int kUnreachablePort = 1;

// The beginning of a chunk that holds the beginning of a list.
constexpr const char* kTruncatedChunk = "20\r\n{\"seq\":8,\"whole\":true,\"ho";

struct EndpointListFixture : NodeFixture {
  EndpointListFixture() { enable_admin_server(); }

  // Sends on the current watch, or on a new one if the node has closed the current watch because of its
  // silence.
  void send_on_open_watch(const std::string& text) {
    if (!watch.is_idle()) accept_watch();
    send_on_watch(text);
  }
  void expect_served_by(const ListeningSocket& listener) const {
    TestSocket client = connect_client();
    client.send(request("close"));
    TestSocket server = listener.accept();
    server.read_message();
    server.send(ok_response_with_close());
    EXPECT_TRUE(contains(client.read_message(), " 200 "));
  }
};

// A snapshot of `count` endpoints: others at `port`, and `last_entry`.
std::string long_snapshot(int sequence, int count, const std::string& last_entry,
                          int port = kUnreachablePort) {
  std::string entries;
  const std::string health = port == kUnreachablePort ? "leaving" : "active";
  for (int i = 1; i < count; ++i) entries += endpoint("s-" + std::to_string(i), port, health) + ",";
  return snapshot(static_cast<unsigned>(sequence), entries + last_entry);
}

std::string long_snapshot_event(int sequence, int count, const std::string& last_entry,
                                int port = kUnreachablePort) {
  return long_snapshot(sequence, count, last_entry, port) + "\n";
}

// Checks the node's peak memory, except under sanitizers, which use additional memory.
void expect_peak_memory_under_32_mb([[maybe_unused]] const NodeProcess& node) {
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LT(node.peak_memory_kb(), 32 * 1024);
#endif
}

// A snapshot of some 3 MB that the node applies quickly: one endpoint, repeated with long unknown fields.
std::string large_snapshot_event(int sequence, const std::string& entry) {
  std::string entries;
  for (int i = 0; i < 30; ++i) {
    entries += "{\"note\":\"" + std::string(100000, 'x') + "\"," + entry.substr(1) + ",";
  }
  return snapshot_event(static_cast<unsigned>(sequence), entries + entry);
}

TEST(EndpointList, LongListIsApplied) {
  EndpointListFixture fixture;
  fixture.config.max_memory_mb = 32;
  fixture.start();
  fixture.accept_watch();
  fixture.send_on_watch(
      long_snapshot_event(7, kManyEndpoints, fixture.server_entry(0), fixture.servers[0].port()));
  fixture.wait_until_ready();
  EXPECT_EQ(fixture.metric("members"), kManyEndpoints);
  fixture.expect_served_by(fixture.servers[0]);
  expect_peak_memory_under_32_mb(*fixture.node);
  fixture.send_on_open_watch(snapshot_event(8, fixture.server_entry(1)));
  fixture.watch.close();
  EXPECT_TRUE(contains(fixture.accept_watch(), "index=8 "));
  EXPECT_EQ(fixture.metric("members"), 1);
  fixture.expect_served_by(fixture.servers[1]);
}

TEST(EndpointList, LongKnownListIsApplied) {
  EndpointListFixture fixture;
  fixture.config.max_memory_mb = 32;
  fixture.config.known_endpoints =
      long_snapshot(7, kManyEndpoints, fixture.server_entry(0), fixture.servers[0].port());
  fixture.start();
  EXPECT_TRUE(contains(fixture.accept_watch(), "index=7 ")) << "only the changes since the known list";
  fixture.wait_until_ready();
  EXPECT_EQ(fixture.metric("members"), kManyEndpoints);
  expect_peak_memory_under_32_mb(*fixture.node);
}

// A truncated list, or a list with an invalid last entry, is rejected completely.
TEST(EndpointList, TruncatedOrInvalidListChangesNothing) {
  EndpointListFixture fixture;
  fixture.start_with_one_server();
  const std::string invalid = long_snapshot_event(8, 3000, fixture.server_entry(1, "odd"));
  fixture.send_on_watch(invalid.substr(0, invalid.size() - 200));
  fixture.watch.close();
  EXPECT_TRUE(contains(fixture.accept_watch(), "index=7 "))
      << "the last valid list stays in use, and a poll after a truncated list requests no snapshot";
  fixture.send_on_watch(invalid);
  EXPECT_TRUE(fixture.watch.closed_by_peer());
  EXPECT_TRUE(contains(fixture.accept_watch(), kSnapshotRequestLine))
      << "a poll after invalid changes requests a snapshot";
  fixture.send_on_watch(invalid);
  EXPECT_TRUE(fixture.watch.closed_by_peer());
  EXPECT_TRUE(contains(fixture.accept_watch(), "index=7 "))
      << "a poll after an invalid snapshot requests changes, which may be valid again";
  EXPECT_EQ(fixture.metric("members"), 1);
  fixture.expect_served_by(fixture.servers[0]);
  fixture.send_on_open_watch(
      incremental_event(9, fixture.server_entry(1) + "," + endpoint("s0", kUnreachablePort, "leaving")));
  fixture.watch.close();
  EXPECT_TRUE(contains(fixture.accept_watch(), "index=9 "));
  fixture.expect_served_by(fixture.servers[1]);
}

TEST(EndpointList, ListTooLargeForMemoryIsRejectedWithOneLogLine) {
  EndpointListFixture fixture;
  fixture.config.max_memory_mb = 16;
  fixture.start_with_one_server();
  const std::string too_large = long_snapshot_event(8, kTooManyEndpointsFor16Mb, fixture.server_entry(1));
  for (int i = 0; i < 2; ++i) {
    fixture.watch.send_available(chunk(too_large));
    fixture.watch.close();
    fixture.accept_watch();
  }
  fixture.announce_snapshot(9, fixture.server_entry(1));
  const std::string log = fixture.node->read_log_until("discovery connected: 127.0.0.1:");
  const std::size_t line = log.find("endpoint list too large for the node's memory");
  ASSERT_NE(line, std::string::npos) << log;
  EXPECT_EQ(log.find("endpoint list too large", line + 1), std::string::npos) << log;
  EXPECT_EQ(fixture.metric("members"), 1);
  fixture.expect_served_by(fixture.servers[1]);
}

// Every list is truncated. When its byte budget is exhausted, the node stops polling and continues to serve.
TEST(EndpointList, TruncatedListsExhaustTheByteBudget) {
  for (const bool awaits_watch : {false, true}) {
    EndpointListFixture fixture;
    fixture.config.awaits_watch = awaits_watch;
    fixture.start_with_one_server();
    const std::string truncated = chunk(large_snapshot_event(8, fixture.server_entry(0))).substr(0, 3000000);
    for (int i = 0; i < 3; ++i) {
      if (i > 0) fixture.accept_watch();
      fixture.watch.send(truncated);
      fixture.watch.shutdown_send();
      EXPECT_TRUE(fixture.watch.closed_by_peer());
    }
    EXPECT_TRUE(contains(fixture.node->read_log_until("byte budget of failed polls exhausted"),
                         "byte budget of failed polls exhausted"));
    fixture.expect_served_by(fixture.servers[0]);
    const ListeningSocket other_discovery;  // a new address is polled at once in spite of the budget
    fixture.node->reload(fixture.config_with_discovery(other_discovery));
    TestSocket watch = other_discovery.accept();
    EXPECT_TRUE(contains(watch.read_message(), kSnapshotRequestLine));
    watch.send(kChunkedResponseHead + chunk(snapshot_event(3, fixture.server_entry(1))));
    EXPECT_TRUE(contains(fixture.node->read_log_until("discovery connected: 127.0.0.1:"),
                         "discovery connected: 127.0.0.1:"));
    fixture.expect_served_by(fixture.servers[1]);
  }
}

// Each poll receives a valid snapshot, after which the watch breaks. These snapshots are also charged to the
// byte budget. Later snapshots on a watch that stays open were not requested by a poll, and do not delay any
// poll.
TEST(EndpointList, RepeatedSnapshotsExhaustTheByteBudget) {
  EndpointListFixture fixture;
  fixture.config.awaits_watch = false;
  fixture.start_with_one_server();
  for (int sequence = 8; sequence < 12; ++sequence) {
    fixture.send_on_open_watch(large_snapshot_event(sequence, fixture.server_entry(0)));
  }
  fixture.watch.close();
  for (int sequence = 12; sequence < 15; ++sequence) {
    EXPECT_TRUE(contains(fixture.accept_watch(), "index=" + std::to_string(sequence - 1) + " "));
    fixture.send_on_watch(large_snapshot_event(sequence, fixture.server_entry(0)));
    fixture.watch.close();
  }
  EXPECT_TRUE(contains(fixture.node->read_log_until("byte budget of failed polls exhausted"),
                       "byte budget of failed polls exhausted"));
  fixture.expect_served_by(fixture.servers[0]);
}

// Polls fail in every possible way, one after the other, before a change is received.
TEST(EndpointList, ChangeIsAppliedAfterFailedPolls) {
  for (const bool awaits_watch : {false, true}) {
    EndpointListFixture fixture;
    fixture.config.awaits_watch = awaits_watch;
    fixture.start_with_one_server();
    TestSocket silent = std::move(fixture.watch);
    EXPECT_TRUE(silent.closed_by_peer());
    fixture.discovery.accept().send(with_content_length("HTTP/1.1 503 Busy\r\n", ""));
    fixture.discovery.accept().reset();
    fixture.accept_watch();
    fixture.watch.send(kTruncatedChunk);
    fixture.watch.close();
    silent = fixture.discovery.accept();  // a poll without any response
    EXPECT_TRUE(contains(silent.read_message(), "index=7 "));
    EXPECT_TRUE(silent.closed_by_peer());
    silent = fixture.discovery.accept();  // a poll with a response that stalls within a list
    EXPECT_TRUE(contains(silent.read_message(), "index=7 "));
    silent.send(std::string(kChunkedResponseHead) + kTruncatedChunk);
    EXPECT_TRUE(silent.closed_by_peer());
    EXPECT_TRUE(contains(fixture.accept_watch(), "index=7 "));
    fixture.announce_changes(8, endpoint("s0", kUnreachablePort, "leaving") + "," + fixture.server_entry(1));
    EXPECT_TRUE(contains(fixture.node->read_log_until("discovery connected: 127.0.0.1:"),
                         "discovery connected: 127.0.0.1:"));
    fixture.expect_served_by(fixture.servers[1]);
  }
}

}  // namespace
}  // namespace asterdrift::node::testing
