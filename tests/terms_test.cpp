// The terms that hold from now on: clients that have gone, a crowd that fills the descriptors, and restarts.
// Orders are forced by events: what comes while a node is held still is there all at once when it goes on.
#include <filesystem>
#include <vector>

#include "node_world.h"

namespace asterdrift::node::testing {
namespace {

// ---------------------------------------------------------------- a client that has gone

using Leave = void (*)(Wire&);
constexpr std::pair<const char*, Leave> kWaysToLeave[] = {
    {"closes", [](Wire& client) { client.close(); }},
    {"resets", [](Wire& client) { client.reset(); }},
    {"ends its sending", [](Wire& client) { client.finish(); }},
};

// Nothing but a test's own events ends its requests.
struct CalmWorld : World {
  CalmWorld() {
    connect_timeout = give_up = idle_close = 600;
    may_cancel = false;
    more = R"("management":"127.0.0.1:0",)";
  }
  // A kept connection to each server.
  std::array<Wire, 2> kept() {
    std::array<Wire, 2> out;
    std::array<bool, 2> have{};
    for (int i = 0; !have[0] || !have[1]; ++i) {
      Wire caller = client();
      caller.send(request("close", "", "question", "warm" + std::to_string(i)));
      std::size_t to = 2;
      until([&] {
        for (std::size_t s = 0; s < 2; ++s) {
          if (have[s] ? !out[s].quiet() : !servers[s].quiet()) to = s;
        }
        return to < 2;
      });
      if (!std::exchange(have[to], true)) out[to] = servers[to].accept();
      out[to].message();
      out[to].send(ok());
      EXPECT_TRUE(has(caller.message(), " 200 "));
    }
    return out;
  }
};

// What lets the further attempt begin is heard of first, the client's end behind it.
TEST(Gone, NoFurtherAttemptBegins) {
  for (const auto& [way, leave] : kWaysToLeave) {
    for (const std::string failure : {"HTTP/1.1 503 Full\r\nNot-Started: 1\r\n", ""}) {
      CalmWorld w;
      w.serve(host("s0", w.servers[0].port()) + "," + host("s1", w.servers[1].port()));
      auto server = w.kept();
      const long before = w.figure("upstream_requests");
      Wire caller = w.client();
      caller.send(request(failure.empty() ? "mark" : "close"));
      until([&] { return !server[0].quiet() || !server[1].quiet(); });
      const std::size_t first = server[0].quiet() ? 1 : 0;
      EXPECT_TRUE(has(server[first].message(), "Request-Id: r1\r\n"));
      w.node->stop();
      failure.empty() ? server[first].reset() : server[first].send(with_length(failure, ""));
      leave(caller);
      w.node->go_on();
      until([&] { return w.figure("pending") == 0; });
      EXPECT_EQ(w.figure("upstream_requests"), before + 1) << way << ", failed by " << failure;
      EXPECT_TRUE(server[1 - first].quiet()) << way;
    }
  }
}

TEST(Gone, NoAttemptBeginsOnAConnectionThatComesUpLate) {
  for (const auto& [way, leave] : kWaysToLeave) {
    const Peer late(0);
    const Wire crowd = Wire::to(late.port());  // its queue has room for this one alone
    CalmWorld w;
    w.serve(host("s0", late.port()));
    Wire caller = w.client();
    caller.send(request("close"));
    until([&] { return connecting_to(late.port()); });
    w.node->stop();
    late.accept();
    Wire server = late.accept();
    leave(caller);
    w.node->go_on();
    EXPECT_TRUE(server.ended()) << way;
    until([&] { return w.figure("pending") == 0; });
    EXPECT_EQ(w.figure("upstream_requests"), 0) << way;
  }
}

// ---------------------------------------------------------------- a crowd that fills the descriptors

constexpr int kFewDescriptors = 64;

enum class Crowd { kSilent, kKept };

struct CrowdedWorld : CalmWorld {
  explicit CrowdedWorld(bool ask) {
    asks = ask;
    sockets = kFewDescriptors;
    node = std::make_unique<Program>(config(), kFewDescriptors);
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
    std::vector<Wire> callers;
    for (int i = 0;; ++i) {
      callers.push_back(client());
      callers.back().send(request("close", "", "question", "fill" + std::to_string(i)));
      until([&] { return !servers[0].quiet() || !callers.back().quiet(); });
      if (servers[0].quiet()) break;
      parked.push_back(servers[0].accept());
      parked.back().message();
    }
    EXPECT_TRUE(has(callers.back().message(), " 503 "));
    for (const Wire& server : parked) server.send(ok());
    callers.pop_back();
    for (Wire& caller : callers) EXPECT_TRUE(has(caller.message(), " 200 "));
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
    for (int i = 0; i < 20; ++i) operators_idle.push_back(Wire::to(node->operators_port()));
  }
  std::string asked_on_new(Peer& server) {
    Wire caller = client();
    caller.send(request("close", "", "question", "new"));
    Wire taken = server.accept();
    taken.message();
    taken.send(ok("heard"));
    return caller.message();
  }

  std::vector<Wire> parked, idle, operators_idle;
};

void reach_discovery_amid(Crowd kind, bool asks, bool moves) {
  SCOPED_TRACE(::testing::Message() << "crowd " << int(kind) << ", asks " << asks << ", moves " << moves);
  CrowdedWorld w(asks);
  w.fill_servers();
  w.discovery.refuse();
  w.watch.reset();
  w.node->log("keeping the last endpoint list");
  w.fill_callers(kind);
  Peer elsewhere, fresh;
  moves ? w.node->reload(moved(w, elsewhere)) : w.discovery.resume();
  const Peer& discovery = moves ? elsewhere : w.discovery;
  // A watch that is silent for long, as while a test waits, is opened anew.
  const auto tell = [&](const std::string& news, const std::string& figure) {
    until([&] {
      if (!w.watch.open() || !discovery.quiet()) {
        w.watch = discovery.accept();
        w.watch.message();
        w.watch.send(kWatchHead);
      }
      w.tell(news);
      return w.figure(figure) == 1;
    });
  };
  tell(list(8, true, host("s99", fresh.port())), "members");
  EXPECT_TRUE(has(w.asked_on_new(fresh), "heard"));
  EXPECT_TRUE(has(w.health(), " 200 "));
  tell(list(9, true, host("s99", fresh.port(), "leaving")), "members_unavailable");
  const std::string last = w.health();
  EXPECT_TRUE(has(last, " 503 ")) << last;
}

TEST(Crowd, OfIdleClientsDoesNotKeepDiscoveryOrOthersOut) {
  for (const Crowd kind : {Crowd::kKept, Crowd::kSilent}) {
    for (const bool asks : {false, true}) {
      for (const bool moves : {false, true}) reach_discovery_amid(kind, asks, moves);
    }
  }
}

// ---------------------------------------------------------------- restarts

// A restarted process has to be ready within 10 s, 6 s where the day ends sooner.
constexpr double kReadyWithin = 6;  // s

// A node that is started again under its addresses, and knows its servers from before.
struct Restarted : World {
  explicit Restarted(bool ask = true) {
    asks = ask;
    folder = ::testing::TempDir() + "/restart_" + std::to_string(getpid()) + "_" + std::to_string(count++);
    std::filesystem::create_directory(folder);
    port = reserved.port;
    operate_at(0);
    known = "\"known\":" + list(3, true, host("s0", servers[0].port()));
    known.back() = ',';
  }
  ~Restarted() { std::filesystem::remove_all(folder); }
  void operate_at(int operators) {
    more = R"("management":"127.0.0.1:)" + std::to_string(operators) + R"(",)";
  }
  std::unique_ptr<Program> begin() const {
    return std::make_unique<Program>(config(), 1024,
                                     std::vector<std::pair<std::string, std::string>>{{"TMPDIR", folder}});
  }
  // Serves one request at its address.
  void serves(const std::string& id) {
    Wire caller = Wire::to(port);
    caller.send(request("close", "", "question", id));
    Wire server = servers[0].accept();
    EXPECT_TRUE(has(server.message(), "Request-Id: " + id + "\r\n"));
    server.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 "));
  }

  Reserved reserved;
  std::string folder;
  static inline int count = 0;
};

bool ready(Program& program) {
  Wire caller = Wire::to(program.operators_port());
  caller.send("GET /ready HTTP/1.1\r\n\r\n");
  return has(caller.message(), " 200 ");
}

void ready_in_time(Program& program, double from) {
  until([&] { return ready(program); });
  EXPECT_LT(seconds() - from, kReadyWithin);
}

// Several at once, all killed and started again: one half when their processes are gone, the other half while
// these still hold the addresses. Discovery says nothing, or is not there. Clients come before they are
// ready.
TEST(Restart, NodesThatKnowServersAreReadyWithoutDiscovery) {
  for (const bool silent : {true, false}) {
    std::vector<std::unique_ptr<Restarted>> nodes;
    for (int i = 0; i < 6; ++i) {
      nodes.push_back(std::make_unique<Restarted>(i % 2 == 0));
      if (!silent) nodes.back()->discovery.refuse();
      nodes.back()->node = nodes.back()->begin();
    }
    for (const auto& node : nodes) {
      ready_in_time(*node->node, seconds());
      node->serves("before");
      node->operate_at(node->node->operators_port());
    }
    const double from = seconds();
    std::vector<std::unique_ptr<Program>> next;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Program& old = *nodes[i]->node;
      if (i < nodes.size() / 2) {
        old.signal(SIGKILL);
        old.exit_code();
        next.push_back(nodes[i]->begin());
      } else {
        next.push_back(nodes[i]->begin());
        EXPECT_TRUE(has(next.back()->log("waiting for addresses in use"), "waiting for addresses in use"));
        old.signal(SIGKILL);
      }
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      next[i]->port();
      std::vector<Wire> crowd;
      for (int c = 0; c < 40; ++c) crowd.push_back(Wire::to(nodes[i]->port));
      for (Wire& early : crowd) early.send("POST /api HTTP/1.1\r\n");
      ready_in_time(*next[i], from);
      nodes[i]->serves("after");
    }
  }
}

// Without servers from before there is nothing to be ready with until discovery has spoken.
TEST(Restart, ANodeIsReadySoonAfterDiscoveryStopsRefusing) {
  for (const bool ask : {true, false}) {
    Restarted at(ask);
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
TEST(Restart, AReplacementIsReadyWhileTheProcessBeforeIsThere) {
  for (const bool hangs : {false, true}) {
    Restarted at;
    const auto old = at.begin();
    ready_in_time(*old, seconds());
    Wire caller = Wire::to(at.port);
    caller.send(request("close"));
    Wire server = at.servers[0].accept();
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
