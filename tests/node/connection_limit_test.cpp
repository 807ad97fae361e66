// Many, idle and slow clients, and limits on descriptors and memory.
#include <filesystem>
#include <sstream>
#include <vector>

#include "support/calm_node_fixture.h"
#include "support/late_server.h"
#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

TEST(ConnectionLimit, SilentConnectionsDoNotKeepOthersOut) {
  NodeFixture w;
  w.sockets = 100;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TestSocket> silent;
  silent.reserve(120);
  for (int i = 0; i < 120; ++i) silent.push_back(w.client());
  TestSocket caller = w.client();
  w.expect_served(caller);
}

TEST(ConnectionLimit, EndsSilentAndSlowConnectionsInThreeSeconds) {
  NodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  const double from = seconds();
  TestSocket silent = w.client(), slow = w.client(), bodiless = w.client();
  slow.send("POST /api HTTP/1.1\r\nRequest-Id:");
  bodiless.send(head("close") + "Content-Length: 100\r\n\r\nhalf");
  EXPECT_TRUE(silent.ended());
  EXPECT_TRUE(has(slow.message(), "HTTP/1.1 408 "));
  EXPECT_TRUE(has(bodiless.message(), "HTTP/1.1 408 "));
  EXPECT_LT(seconds() - from, 3);
}

TEST(ConnectionLimit, KeptConnectionsAndSlowHeadsDoNotKeepOthersOut) {
  NodeFixture w;
  w.sockets = 100;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TestSocket> crowd;
  for (int i = 0; i < 100; ++i) {
    crowd.push_back(w.client());
    const bool slow = i % 2 == 0;
    crowd.back().send(slow ? "POST /api HTTP/1.1\r\nRequest-Id:" : "GET /healthz HTTP/1.1\r\n\r\n");
    if (!slow) crowd.back().message();
  }
  TestSocket caller = w.client();
  w.expect_served(caller);
}

// Clients that have just connected must not push each other out while old connections are kept.
TEST(ConnectionLimit, ACrowdDoesNotPushOutWhoHasJustConnected) {
  NodeFixture w;
  w.sockets = 100;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TestSocket> kept;
  for (int i = 0; i < 40; ++i) {
    kept.push_back(w.client());
    kept.back().send("GET /healthz HTTP/1.1\r\n\r\n");
    kept.back().message();
  }
  TestSocket caller = w.client();
  std::vector<TestSocket> crowd;
  crowd.reserve(10);
  for (int i = 0; i < 10; ++i) crowd.push_back(w.client());
  crowd.back().send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(crowd.back().message(), " 200 ")) << "all of the crowd are connected";
  w.expect_served(caller);
}

// Bodies that are begun and never end hold memory: past a part of the limit the node turns requests away.
TEST(ConnectionLimit, HoldsNoMoreBodiesThanItsMemoryAllows) {
  NodeFixture w;
  w.memory_mb = 16;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TestSocket> held;
  bool full = false;
  for (int i = 0; i < 100 && !full; ++i) {
    held.push_back(w.client());
    held.back().send(head("close", "h" + std::to_string(i)) + "Content-Length: 65536\r\n\r\nhalf");
    TestSocket probe = w.client();
    probe.send(head("close", "p") + "Content-Length: 65536\r\n\r\n");
    full = !probe.quiet(20) && has(probe.message(), "HTTP/1.1 503 ");
  }
  EXPECT_TRUE(full);
  EXPECT_GT(held.size(), 20U);
  held.clear();
  until([&] {
    TestSocket caller = w.client();
    caller.send(request("close"));
    if (caller.quiet(50)) return true;
    caller.message();
    return false;
  });
}

TEST(ConnectionLimit, SurvivesRunningOutOfDescriptors) {
  NodeFixture w;
  w.node = std::make_unique<NodeProcess>(w.config(), 24);
  w.take_watch();
  w.tell(list(7, true, host("s0", w.servers[0].port())));
  w.await_ready();
  std::vector<TestSocket> silent;
  silent.reserve(40);
  for (int i = 0; i < 40; ++i) silent.push_back(w.client());
  silent.back().send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(silent.back().message(), " 200 ")) << "those before it made room";
  silent.clear();
  TestSocket caller = w.client();
  w.expect_served(caller);
}

constexpr int kFewDescriptors = 64;

enum class Crowd { kSilent, kKept };

struct CrowdedNodeFixture : CalmNodeFixture {
  explicit CrowdedNodeFixture(bool ask) {
    asks = ask;
    sockets = kFewDescriptors;
    node = std::make_unique<NodeProcess>(config(), kFewDescriptors);
    take_watch();
    std::string hosts;
    for (int i = 0; i < 20; ++i) {
      hosts += (i > 0 ? "," : "") + host("s" + std::to_string(i), servers[0].port());
    }
    tell(list(7, true, hosts));
    await_ready();
  }
  // As many connections to servers as it keeps: the next one is refused.
  void fill_servers() {
    std::vector<TestSocket> callers;
    for (int i = 0;; ++i) {
      callers.push_back(client());
      callers.back().send(request("close", "", "question", "fill" + std::to_string(i)));
      until([&] { return !servers[0].quiet() || !callers.back().quiet(); });
      if (servers[0].quiet()) break;
      parked.push_back(servers[0].accept());
      parked.back().message();
    }
    EXPECT_TRUE(has(callers.back().message(), " 503 "));
    for (const TestSocket& server : parked) server.send(ok());
    callers.pop_back();
    for (TestSocket& caller : callers) EXPECT_TRUE(has(caller.message(), " 200 "));
    EXPECT_GE(parked.size(), 8U);
  }
  // Far more clients than it takes, and operators' connections that hold on.
  void fill_callers(Crowd kind) {
    for (int i = 0; i < 2 * kFewDescriptors; ++i) {
      idle.push_back(client());
      if (kind != Crowd::kKept) continue;
      idle.back().send("GET /healthz HTTP/1.1\r\n\r\n");
      idle.back().message();
    }
    for (int i = 0; i < 20; ++i) operators_idle.push_back(TestSocket::to(node->admin_port()));
  }
  std::string asked_on_new(ScriptedPeer& server) {
    TestSocket caller = client();
    caller.send(request("close", "", "question", "new"));
    TestSocket taken = server.accept();
    taken.message();
    taken.send(ok("heard"));
    return caller.message();
  }

  std::vector<TestSocket> parked, idle, operators_idle;
};

void reach_discovery_amid(Crowd kind, bool asks, bool moves) {
  SCOPED_TRACE(::testing::Message() << "crowd " << int(kind) << ", asks " << asks << ", moves " << moves);
  CrowdedNodeFixture w(asks);
  w.fill_servers();
  w.discovery.refuse();
  w.watch.reset();
  w.node->log("keeping the last endpoint list");
  w.fill_callers(kind);
  ScriptedPeer elsewhere, fresh;
  moves ? w.node->reload(moved(w, elsewhere)) : w.discovery.resume();
  const ScriptedPeer& discovery = moves ? elsewhere : w.discovery;
  // A watch that is silent for long, as while a test waits, is opened anew.
  const auto tell = [&](const std::string& news, const std::string& figure) {
    until([&] {
      if (!w.watch.open() || !discovery.quiet()) {
        w.watch = discovery.accept();
        w.watch.message();
        w.watch.send(kWatchHead);
      }
      w.tell(news);
      return w.metric(figure) == 1;
    });
  };
  tell(list(8, true, host("s99", fresh.port())), "members");
  EXPECT_TRUE(has(w.asked_on_new(fresh), "heard"));
  EXPECT_TRUE(has(w.health(), " 200 "));
  tell(list(9, true, host("s99", fresh.port(), "leaving")), "members_unavailable");
  const std::string last = w.health();
  EXPECT_TRUE(has(last, " 503 ")) << last;
}

TEST(ConnectionLimit, OfIdleClientsDoesNotKeepDiscoveryOrOthersOut) {
  for (const Crowd kind : {Crowd::kKept, Crowd::kSilent}) {
    for (const bool asks : {false, true}) {
      for (const bool moves : {false, true}) reach_discovery_amid(kind, asks, moves);
    }
  }
}
}  // namespace
}  // namespace asterdrift::node::testing
