// The watch on discovery: failures, silence and moves.
#include <sstream>
#include <thread>
#include <vector>

#include "support/late_server.h"
#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

TEST(Discovery, IsReadyOnceItKnowsServers) {
  NodeFixture w;
  w.start();
  EXPECT_TRUE(has(w.health(), " 503 "));
  EXPECT_TRUE(has(w.take_watch(), "GET /v1/servers?stream=1 HTTP/1.1\r\n")) << "the whole list";
  w.tell(list(7, true, w.both()));
  w.await_ready();
}

TEST(Discovery, KeepsItsListAndAsksAgainWhenTheWatchBreaks) {
  NodeFixture w;
  std::string known = list(3, true, host("s0", w.servers[0].port()));
  known.pop_back();
  w.known = "\"known\":" + known + ",";
  w.start();
  w.discovery.accept().send(with_length("HTTP/1.1 503 Busy\r\n", ""));  // turned away
  w.await_ready();
  EXPECT_TRUE(has(w.take_watch(), "stream=1&index=3 "));
  w.tell("\n");
  w.watch.send("20\r\n{\"seq\":4,\"whole\":true,\"ho");  // cut in the middle of a line
  w.watch.close();
  EXPECT_TRUE(has(w.take_watch(), "stream=1&index=3 "));
  w.tell("{\"seq\":5,\"whole\":true,\"hosts\":[{\"host\":7}]}\n");  // nonsense
  EXPECT_TRUE(has(w.take_watch(), "GET /v1/servers?stream=1 HTTP")) << "the whole list";
  TestSocket caller = w.client();
  w.expect_served(caller);
}

TEST(Discovery, TakesASilentWatchForBroken) {
  NodeFixture w;
  w.serve(w.both());
  EXPECT_TRUE(w.watch.ended());
  EXPECT_TRUE(has(w.take_watch(), "stream=1&index=7 "));
}

// A change counts as told after 6 s. A watch that is silent for so long, and one more after it, have
// the node send to a server that drains.
TEST(Discovery, AsksAgainBeforeASilentWatchsChangesCountAsTold) {
  NodeFixture w;
  w.serve(w.both());
  const auto heard = std::chrono::steady_clock::now();
  TestSocket silent = w.discovery.accept();
  EXPECT_TRUE(has(silent.message(), "stream=1&index=7 "));
  EXPECT_LT(std::chrono::steady_clock::now() - heard, std::chrono::seconds(5));
  EXPECT_TRUE(has(w.take_watch(), "stream=1&index=7 ")) << "and so when that one says nothing at all";
}

TEST(Discovery, MovesItsWatchOnSighup) {
  NodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  for (int round = 0; round < 2; ++round) {
    const ScriptedPeer elsewhere;
    w.node->reload(moved(w, elsewhere));
    TestSocket next = elsewhere.accept();
    EXPECT_TRUE(has(next.message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n")) << "the whole list";
    EXPECT_TRUE(w.watch.quiet()) << "the old watch stays until the new one has spoken";
    w.tell(list(8, true, host("s1", w.servers[1].port())));
    TestSocket caller = w.client();
    const auto serves = [&](const ScriptedPeer& peer) {
      until([&] {
        caller.send(request("close"));
        TestSocket server = w.next();
        server.message();
        server.send(with_length("HTTP/1.1 200 OK\r\nConnection: close\r\n", "answer"));
        caller.message();
        return server.local_port() == peer.port();
      });
    };
    serves(w.servers[1]);  // what the old watch says still counts
    next.send(kWatchHead);
    EXPECT_TRUE(w.watch.quiet());
    next.send(chunk(list(3, true, host("s0", w.servers[0].port()))));
    EXPECT_TRUE(w.watch.ended());
    serves(w.servers[0]);
    w.watch = std::move(next);
    next = TestSocket();
  }
}

TEST(Discovery, AsksTheNewDiscoveryAgainUntilItSpeaks) {
  NodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  const ScriptedPeer elsewhere;
  w.node->reload(moved(w, elsewhere));
  elsewhere.accept().send(with_length("HTTP/1.1 503 Busy\r\n", ""));
  TestSocket second = elsewhere.accept();
  w.watch.close();  // and the old one has gone by then
  second.reset();
  EXPECT_TRUE(has(elsewhere.accept().message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n"));
  EXPECT_TRUE(has(w.health(), " 200 ")) << "with the last list";
}

TEST(Discovery, MovesItsWatchInAnOutageAndInADrain) {
  NodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  w.discovery.close();
  w.watch.close();
  w.node->log("keeping the last endpoint list");
  const ScriptedPeer second, third;
  w.node->reload(moved(w, second));
  TestSocket watch = second.accept();
  EXPECT_TRUE(has(watch.message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n"));
  watch.send(kWatchHead);
  watch.send(chunk(list(1, true, host("s0", w.servers[0].port()))));
  TestSocket caller = w.client();
  caller.send(request("close"));
  TestSocket server = w.servers[0].accept();
  server.message();
  w.node->signal(SIGTERM);
  w.node->log("draining");
  w.node->reload(moved(w, third));
  EXPECT_TRUE(has(third.accept().message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n"));
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  EXPECT_EQ(w.node->exit_code(), 0);
}

// The same list, laid out over many lines.
std::string indented(const std::string& line) {
  std::string out;
  for (const char c : line) {
    out += c;
    if (c == '{' || c == '[' || c == ',') out += "\r\n    ";
  }
  return out;
}

TEST(Discovery, ListsMayComeIndentedAndCutAnywhere) {
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{100000}}) {
    PatientNodeFixture w;
    w.start();
    w.take_watch();
    const auto tell = [&](const std::string& text) {
      for (std::size_t at = 0; at < text.size(); at += piece) w.tell(text.substr(at, piece));
    };
    std::string odd = host("s}]\\\"", w.servers[1].port(), "leaving");  // brackets in a text are none
    tell(indented(list(7, true, host("s0", w.servers[0].port()) + "," + odd)) + "\n");
    w.await_ready();
    TestSocket caller = w.client();
    served_by(w, caller, w.servers[0]);
    EXPECT_EQ(w.metric("members"), 2);
    tell(indented(list(8, false, host("s1", w.servers[1].port()))) +
         indented(list(9, false, host("s0", w.servers[0].port(), "leaving"))));
    served_by(w, caller, w.servers[1]);
    // Cut in the middle, the last good one holds.
    const std::string cut = indented(list(10, true, host("s0", w.servers[0].port())));
    tell(cut.substr(0, cut.size() - 5));
    w.watch.close();
    EXPECT_TRUE(has(w.take_watch(), "stream=1&index=9 "));
    served_by(w, caller, w.servers[1]);
  }
}

// What can never become a list ends its watch, and the whole list is asked for.
TEST(Discovery, ListsThatCanNotBeReadEndTheirWatch) {
  PatientNodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  const std::string line_end_in_string = std::string(R"({"seq":8,"ho)") + "\n";
  for (const std::string& spoilt : {std::string(R"({"seq":8,"hosts":[})"), line_end_in_string,
                                    std::string("]"), std::string("seq"), std::string(R"({"seq":8})")}) {
    w.tell(spoilt);
    EXPECT_TRUE(w.watch.ended()) << spoilt;
    EXPECT_TRUE(has(w.take_watch(), "GET /v1/servers?stream=1 HTTP/1.1\r\n")) << spoilt;
    w.tell(list(7, true, host("s0", w.servers[0].port())));
  }
  TestSocket caller = w.client();
  served_by(w, caller, w.servers[0]);
}

// Bytes that make no line and no list are no sign of life.
TEST(Discovery, AWatchThatDripsIsBroken) {
  for (const std::string begins : {"", "{\"seq\":8,"}) {
    PatientNodeFixture w;
    w.serve(host("s0", w.servers[0].port()));
    w.tell(begins + " ");
    until([&] {
      w.tell(begins.empty() ? " " : "\n");
      return !w.watch.quiet(50);
    });
    EXPECT_TRUE(w.watch.ended());
    EXPECT_TRUE(has(w.take_watch(), "stream=1&index=7 "));
  }
}

// Where lists are pushed, what comes at discovery's return counts as told at once: it is always being asked.
TEST(Discovery, ASilentAgentIsAskedAgainAtOnce) {
  PatientNodeFixture w;
  w.asks = false;
  w.serve(host("s0", w.servers[0].port()));
  double gaps = 0;
  TestSocket silent = std::move(w.watch);
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(silent.ended());
    const double from = seconds();
    silent = w.discovery.accept();
    gaps += seconds() - from;
    EXPECT_TRUE(has(silent.message(), "stream=1&index=7 "));
  }
  EXPECT_LT(gaps, 2) << "half a second, and what a busy machine adds";
  silent.send(kWatchHead + chunk(list(8, true, host("s1", w.servers[1].port()))));
  TestSocket caller = w.client();
  served_by(w, caller, w.servers[1]);
}

// A new configuration amid a silence: the old watch says nothing more, and the new address is silent at
// first.
TEST(Discovery, AMoveAmidASilenceIsFollowed) {
  for (const bool asks : {false, true}) {
    PatientNodeFixture w;
    w.asks = asks;
    w.serve(host("s0", w.servers[0].port()));
    const ScriptedPeer elsewhere;
    w.node->reload(moved(w, elsewhere));
    TestSocket silent = elsewhere.accept();
    EXPECT_TRUE(has(silent.message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n"));
    EXPECT_TRUE(silent.ended());
    TestSocket next = elsewhere.accept();
    EXPECT_TRUE(has(next.message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n")) << "still the whole list";
    EXPECT_TRUE(w.discovery.quiet()) << "nobody asks the old address again";
    next.send(kWatchHead + chunk(indented(list(3, true, host("s1", w.servers[1].port())))));
    EXPECT_TRUE(w.watch.ended());
    TestSocket caller = w.client();
    served_by(w, caller, w.servers[1]);
  }
}
}  // namespace
}  // namespace asterdrift::node::testing
