// Lists of any length, lists that can't be taken, and calls to discovery that fail: the whole node.
#include <string>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

#ifndef __SANITIZE_ADDRESS__
constexpr int kMany = 27000;
#else
constexpr int kMany = 10000;  // over 1 MiB all the same; everything takes ten times as long
#endif
constexpr int kTooMany = 14000;  // for a node with 16 MB

struct ManagedWorld : NodeFixture {
  ManagedWorld() { more = R"("management":"127.0.0.1:0",)"; }

  // Tells a list on a watch that is open: the one before may have been given up for its silence meanwhile.
  void tell_now(const std::string& text) {
    if (!watch.quiet()) take_watch();
    tell(text);
  }
};

const std::string kWhole = "GET /v1/servers?stream=1 HTTP/1.1\r\n";

// A whole list of so many servers: the last one, and others at one port.
std::string long_list(int seq, int count, const std::string& last, int port = 1) {
  std::string hosts;
  const std::string health = port == 1 ? "leaving" : "active";
  for (int i = 1; i < count; ++i) hosts += host("s-" + std::to_string(i), port, health) + ",";
  return list(seq, true, hosts + last);
}

// The whole node, at its peak. The sanitizers take memory of their own.
void expect_under_32_mb([[maybe_unused]] const NodeProcess& node) {
#ifndef __SANITIZE_ADDRESS__
  std::ifstream status(node.folder() + "/status");
  std::string line;
  while (!line.starts_with("VmHWM:") && std::getline(status, line)) {
  }
  EXPECT_LT(std::stol(line.substr(6)), 32 * 1024);
#endif
}

// A list of some 3 MB that takes little work: one server, and fields that nobody knows.
std::string heavy_list(int seq, const std::string& server) {
  std::string hosts;
  for (int i = 0; i < 30; ++i)
    hosts += "{\"note\":\"" + std::string(100000, 'x') + "\"," + server.substr(1) + ",";
  return list(seq, true, hosts + server);
}

void expect_served(const NodeFixture& w, const ScriptedPeer& by) {
  TestSocket caller = w.client();
  caller.send(request("close"));
  TestSocket server = by.accept();
  server.message();
  server.send(with_length("HTTP/1.1 200 OK\r\nConnection: close\r\n", "answer"));
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

TEST(Membership, AListIsTakenWhateverItsLength) {
  ManagedWorld w;
  w.memory_mb = 32;
  w.start();
  w.take_watch();
  w.tell(long_list(7, kMany, host("s0", w.servers[0].port()), w.servers[0].port()));
  w.await_ready();
  EXPECT_EQ(w.metric("members"), kMany);
  expect_served(w, w.servers[0]);
  expect_under_32_mb(*w.node);
  w.tell_now(list(8, true, host("s1", w.servers[1].port())));
  w.watch.close();
  EXPECT_TRUE(has(w.take_watch(), "index=8 "));
  EXPECT_EQ(w.metric("members"), 1);
  expect_served(w, w.servers[1]);
}

TEST(Membership, AKnownListIsTakenWhateverItsLength) {
  ManagedWorld w;
  w.memory_mb = 32;
  std::string known = long_list(7, kMany, host("s0", w.servers[0].port()), w.servers[0].port());
  known.pop_back();
  w.known = "\"known\":" + known + ",";
  w.start();
  EXPECT_TRUE(has(w.take_watch(), "index=7 ")) << "only what has changed since";
  w.await_ready();
  EXPECT_EQ(w.metric("members"), kMany);
  expect_under_32_mb(*w.node);
}

// All or nothing: what has been read of a list that is cut, or spoilt in its last entry, changes nothing.
TEST(Membership, ALongListThatIsCutOrSpoiltChangesNothing) {
  ManagedWorld w;
  w.serve(host("s0", w.servers[0].port()));
  std::string spoilt = long_list(8, 3000, host("s1", w.servers[1].port(), "odd"));
  w.tell(spoilt.substr(0, spoilt.size() - 200));
  w.watch.close();
  EXPECT_TRUE(has(w.take_watch(), "index=7 "))
      << "the last good one holds, and what came is no reason to ask for all";
  w.tell(spoilt);
  EXPECT_TRUE(w.watch.ended());
  EXPECT_TRUE(has(w.take_watch(), kWhole)) << "the changes since can't be taken";
  w.tell(spoilt);
  EXPECT_TRUE(w.watch.ended());
  EXPECT_TRUE(has(w.take_watch(), "index=7 ")) << "nor can the whole list: the changes may be sound again";
  EXPECT_EQ(w.metric("members"), 1);
  expect_served(w, w.servers[0]);
  w.tell_now(list(9, false, host("s1", w.servers[1].port()) + "," + host("s0", 1, "leaving")));
  w.watch.close();
  EXPECT_TRUE(has(w.take_watch(), "index=9 "));
  expect_served(w, w.servers[1]);
}

TEST(Membership, AListTooLargeForTheMemoryIsRejectedWithOneLine) {
  ManagedWorld w;
  w.memory_mb = 16;
  w.serve(host("s0", w.servers[0].port()));
  const std::string large = long_list(8, kTooMany, host("s1", w.servers[1].port()));
  for (int i = 0; i < 2; ++i) {
    w.watch.push(chunk(large));
    w.watch.close();
    w.take_watch();
  }
  w.tell(list(9, true, host("s1", w.servers[1].port())));
  const std::string log = w.node->log("discovery connected: 127.0.0.1:");
  const std::size_t line = log.find("a list too large for this node's memory");
  ASSERT_NE(line, std::string::npos) << log;
  EXPECT_EQ(log.find("a list too large", line + 1), std::string::npos) << log;
  EXPECT_EQ(w.metric("members"), 1);
  expect_served(w, w.servers[1]);
}

// Lists that are cut each time: when too much has come for nothing the node stops asking for more, and serves
// on.
TEST(Membership, WhatIsOfNoUseIsNotAskedForWithoutEnd) {
  for (const bool asks : {false, true}) {
    ManagedWorld w;
    w.asks = asks;
    w.serve(host("s0", w.servers[0].port()));
    const std::string cut = chunk(heavy_list(8, host("s0", w.servers[0].port()))).substr(0, 3000000);
    for (int i = 0; i < 3; ++i) {
      if (i > 0) w.take_watch();
      w.watch.send(cut);
      w.watch.finish();
      EXPECT_TRUE(w.watch.ended());
    }
    EXPECT_TRUE(
        has(w.node->log("byte budget of failed polls exhausted"), "byte budget of failed polls exhausted"));
    expect_served(w, w.servers[0]);
    const ScriptedPeer elsewhere;  // who is sent elsewhere asks there at once
    w.node->reload(moved(w, elsewhere));
    TestSocket next = elsewhere.accept();
    EXPECT_TRUE(has(next.message(), kWhole));
    next.send(kWatchHead + chunk(list(3, true, host("s1", w.servers[1].port()))));
    EXPECT_TRUE(has(w.node->log("discovery connected: 127.0.0.1:"), "discovery connected: 127.0.0.1:"));
    expect_served(w, w.servers[1]);
  }
}

// Whole lists that can be taken cost no more in the long run, where each call is answered by one and its
// watch then breaks. On a watch that stays they were not asked for, and hold back no call.
TEST(Membership, WholeListsThatAreToldOverAndOverAreNotAskedForWithoutEnd) {
  ManagedWorld w;
  w.asks = false;
  w.serve(host("s0", w.servers[0].port()));
  for (int seq = 8; seq < 12; ++seq) w.tell_now(heavy_list(seq, host("s0", w.servers[0].port())));
  w.watch.close();
  for (int seq = 12; seq < 15; ++seq) {
    EXPECT_TRUE(has(w.take_watch(), "index=" + std::to_string(seq - 1) + " "));
    w.tell(heavy_list(seq, host("s0", w.servers[0].port())));
    w.watch.close();
  }
  EXPECT_TRUE(
      has(w.node->log("byte budget of failed polls exhausted"), "byte budget of failed polls exhausted"));
  expect_served(w, w.servers[0]);
}

// Calls that fail in every way, one after the other; then the change is heard.
TEST(Membership, AChangeIsHeardWhateverHasFailedBefore) {
  for (const bool asks : {false, true}) {
    ManagedWorld w;
    w.asks = asks;
    w.serve(host("s0", w.servers[0].port()));
    TestSocket silent = std::move(w.watch);
    EXPECT_TRUE(silent.ended());
    w.discovery.accept().send(with_length("HTTP/1.1 503 Busy\r\n", ""));
    w.discovery.accept().reset();
    w.take_watch();
    w.watch.send("20\r\n{\"seq\":8,\"whole\":true,\"ho");
    w.watch.close();
    silent = w.discovery.accept();  // never answered
    EXPECT_TRUE(has(silent.message(), "index=7 "));
    EXPECT_TRUE(silent.ended());
    silent = w.discovery.accept();  // answered, and then silent amid a list
    EXPECT_TRUE(has(silent.message(), "index=7 "));
    silent.send(std::string(kWatchHead) + "20\r\n{\"seq\":8,\"whole\":true,\"ho");
    EXPECT_TRUE(silent.ended());
    EXPECT_TRUE(has(w.take_watch(), "index=7 "));
    w.tell(list(8, false, host("s0", 1, "leaving") + "," + host("s1", w.servers[1].port())));
    EXPECT_TRUE(has(w.node->log("discovery connected: 127.0.0.1:"), "discovery connected: 127.0.0.1:"));
    expect_served(w, w.servers[1]);
  }
}

}  // namespace
}  // namespace asterdrift::node::testing
