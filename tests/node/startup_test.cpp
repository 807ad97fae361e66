// Start and restart: when a node is ready.
#include <filesystem>
#include <thread>
#include <vector>

#include "support/late_server.h"
#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

// What a new process knows from before may be old, and what its agent has counts as told from its start.
TEST(Startup, ANewProcessSendsNothingBeforeItHasHeardOfTheServers) {
  PatientNodeFixture w;
  std::string known = list(3, true, host("s0", w.servers[0].port()));
  known.pop_back();
  w.known = "\"known\":" + known + ",";
  w.start();
  w.discovery.accept().send(with_length("HTTP/1.1 503 Busy\r\n", ""));
  w.node->log("keeping the last endpoint list");
  TestSocket caller = w.client();
  caller.send(request("close"));
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 503 "));
  EXPECT_TRUE(has(w.health(), "HTTP/1.1 503 "));
  w.take_watch();
  w.tell(list(4, false, host("s0", w.servers[0].port(), "leaving") + "," + host("s1", w.servers[1].port())));
  w.await_ready();
  TestSocket next = w.client();
  served_by(w, next, w.servers[1]);
  EXPECT_TRUE(w.servers[0].quiet());
}

// A restarted process has to be ready within 10 s, 6 s where the day ends sooner.
constexpr double kReadyWithin = 6;  // s

// A node that is started again under its addresses, and knows its servers from before.
struct RestartedNodeFixture : NodeFixture {
  explicit RestartedNodeFixture(bool ask = true) {
    asks = ask;
    folder = ::testing::TempDir() + "/restart_" + std::to_string(getpid()) + "_" + std::to_string(count++);
    std::filesystem::create_directory(folder);
    port = reserved.port;
    operate_at(0);
    known = "\"known\":" + list(3, true, host("s0", servers[0].port()));
    known.back() = ',';
  }
  ~RestartedNodeFixture() { std::filesystem::remove_all(folder); }
  void operate_at(int operators) {
    more = R"("management":"127.0.0.1:)" + std::to_string(operators) + R"(",)";
  }
  std::unique_ptr<NodeProcess> begin() const {
    return std::make_unique<NodeProcess>(
        config(), 1024, std::vector<std::pair<std::string, std::string>>{{"TMPDIR", folder}});
  }
  // Serves one request at its address.
  void serves(const std::string& id) {
    TestSocket caller = TestSocket::to(port);
    caller.send(request("close", "", "question", id));
    TestSocket server = servers[0].accept();
    EXPECT_TRUE(has(server.message(), "Request-Id: " + id + "\r\n"));
    server.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 "));
  }

  ReservedPort reserved;
  std::string folder;
  static inline int count = 0;
};

bool ready(NodeProcess& program) {
  TestSocket caller = TestSocket::to(program.admin_port());
  caller.send("GET /ready HTTP/1.1\r\n\r\n");
  return has(caller.message(), " 200 ");
}

void ready_in_time(NodeProcess& program, double from) {
  until([&] { return ready(program); });
  EXPECT_LT(seconds() - from, kReadyWithin);
}

// Several at once, all killed and started again: one half when their processes are gone, the other half while
// these still hold the addresses. Discovery says nothing, or is not there. Clients come before they are
// ready.
TEST(Startup, NodesThatKnowServersAreReadyWithoutDiscovery) {
  for (const bool silent : {true, false}) {
    std::vector<std::unique_ptr<RestartedNodeFixture>> nodes;
    for (int i = 0; i < 6; ++i) {
      nodes.push_back(std::make_unique<RestartedNodeFixture>(i % 2 == 0));
      if (!silent) nodes.back()->discovery.refuse();
      nodes.back()->node = nodes.back()->begin();
    }
    for (const auto& node : nodes) {
      ready_in_time(*node->node, seconds());
      node->serves("before");
      node->operate_at(node->node->admin_port());
    }
    const double from = seconds();
    std::vector<std::unique_ptr<NodeProcess>> next;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      NodeProcess& old = *nodes[i]->node;
      if (i < nodes.size() / 2) {
        old.signal(SIGKILL);
        old.exit_code();
        next.push_back(nodes[i]->begin());
      } else {
        next.push_back(nodes[i]->begin());
        EXPECT_TRUE(
            has(next.back()->log("waiting for an address in use: "), "waiting for an address in use: "));
        old.signal(SIGKILL);
      }
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      next[i]->port();
      std::vector<TestSocket> crowd;
      crowd.reserve(40);
      for (int c = 0; c < 40; ++c) crowd.push_back(TestSocket::to(nodes[i]->port));
      for (TestSocket& early : crowd) early.send("POST /api HTTP/1.1\r\n");
      ready_in_time(*next[i], from);
      nodes[i]->serves("after");
    }
  }
}

// Without servers from before there is nothing to be ready with until discovery has spoken.
TEST(Startup, ANodeIsReadySoonAfterDiscoveryStopsRefusing) {
  for (const bool ask : {true, false}) {
    RestartedNodeFixture at(ask);
    at.known.clear();
    at.discovery.refuse();
    const auto node = at.begin();
    node->log("keeping the last endpoint list");
    EXPECT_FALSE(ready(*node));
    at.discovery.resume();
    const double from = seconds();
    at.take_watch();
    at.tell(list(7, true, host("s0", at.servers[0].port())));
    ready_in_time(*node, from);
    at.serves("a");
  }
}

// The process before still has a request, or does not run at all and can't make room.
TEST(Startup, AReplacementIsReadyWhileTheProcessBeforeIsThere) {
  for (const bool hangs : {false, true}) {
    RestartedNodeFixture at;
    const auto old = at.begin();
    ready_in_time(*old, seconds());
    TestSocket caller = TestSocket::to(at.port);
    caller.send(request("close"));
    TestSocket server = at.servers[0].accept();
    server.message();
    if (hangs) {
      old->stop();
    } else {
      old->signal(SIGTERM);
      old->log("draining");
    }
    const double from = seconds();
    const auto next = at.begin();
    ready_in_time(*next, from);
    if (hangs) {
      old->go_on();
      old->signal(SIGTERM);
    }
    server.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 "));
    EXPECT_EQ(old->exit_code(), 0);
    at.serves("next");
  }
}
}  // namespace
}  // namespace asterdrift::node::testing
