// Events that cross each other: closes, lists, ends of connections and of requests.
#include <thread>
#include <vector>

#include "support/late_server.h"
#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

// A busy moment: more has come than is read in one round, and it is time to close what has sent nothing.
TEST(CrossingEvents, AConnectionIsNotClosedOverARequestThatIsNotReadYet) {
  PatientNodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TestSocket> fresh;
  fresh.reserve(300);
  for (int i = 0; i < 300; ++i) fresh.push_back(w.client());
  w.health();  // behind them in the machine's queue: they have been taken
  const double from = seconds();
  w.node->stop();
  until([&] { return seconds() - from > 2.6; });
  for (TestSocket& client : fresh) client.send("GET /healthz HTTP/1.1\r\n\r\n");
  w.node->go_on();
  int answered = 0;
  for (TestSocket& client : fresh) answered += static_cast<int>(has(client.message(), " 200 "));
  EXPECT_EQ(answered, 300);
}

// The answer and the client's end are there together, in either order, and again where it is the server that
// ends.
TEST(CrossingEvents, AnAnswerThatCrossesItsClientsEndIsNobodysAndDoesNoHarm) {
  for (const bool answer_first : {false, true}) {
    for (const bool reset : {false, true}) {
      PatientNodeFixture w;
      w.serve(host("s0", w.servers[0].port()));
      TestSocket caller = w.client();
      caller.send(request("close"));
      TestSocket server = w.servers[0].accept();
      server.message();
      w.node->stop();
      if (answer_first) server.send(ok("stray"));
      leave(caller, reset);
      if (!answer_first) server.send(ok("stray"));
      w.node->go_on();
      until([&] { return w.metric("pending") == 0; });
      TestSocket next = w.client();
      next.send(request("close", "", "next"));
      until([&] { return !server.quiet() || !w.servers[0].quiet(); });
      std::string got = server.quiet() ? "" : server.message();
      if (got.empty()) {
        server = w.servers[0].accept();
        got = server.message();
      }
      EXPECT_TRUE(got.ends_with("\r\n\r\nnext")) << got;
      server.send(ok("own"));
      EXPECT_TRUE(has(next.message(), "\r\n\r\nown"));
    }
  }
}

// A kept connection ends while its next request is on its way to the node.
TEST(CrossingEvents, AKeptConnectionThatEndsAsItsNextRequestComesIsNotUsed) {
  for (const bool reset : {false, true}) {
    PatientNodeFixture w;
    w.serve(host("s0", w.servers[0].port()));
    TestSocket caller = w.client();
    caller.send(request("close"));
    TestSocket server = w.servers[0].accept();
    server.message();
    server.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 "));
    w.node->stop();
    caller.send(request("close", "", "next"));  // is read first
    leave(server, reset);
    w.node->go_on();
    TestSocket fresh = w.servers[0].accept();
    EXPECT_TRUE(fresh.message().ends_with("\r\n\r\nnext"));
    fresh.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 "));
    EXPECT_EQ(w.metric("upstream_requests"), 2);
  }
}

// What a server has begun to get before the node is told that it leaves comes to its end there.
TEST(CrossingEvents, AnUploadThatHasBegunOutlivesTheWordThatItsServerLeaves) {
  PatientNodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  TestSocket caller = w.client();
  const std::string body(300000, 'u');
  caller.send(head("close") + "Content-Length: 300000\r\n\r\n" + body.substr(0, 200000));
  TestSocket server = w.servers[0].accept();
  server.up_to("\r\n\r\n");
  EXPECT_EQ(server.bytes(200000).size(), 200000U);
  w.tell(list(8, false, host("s0", w.servers[0].port(), "leaving")));
  until([&] { return w.metric("members_unavailable") == 1; });
  caller.send(body.substr(200000));
  EXPECT_EQ(server.bytes(100000).size(), 100000U);
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  caller.send(request("close", "", "next", "r2"));
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 503 ")) << "and nothing new goes there";
}

// Its server would take it for a new one: it has forgotten the first by then.
TEST(CrossingEvents, ARepeatWhoseConnectionComesUpAfterItsWindowIsNotSent) {
  const LateServer late;
  PatientNodeFixture w;
  w.dedup_window = 0.5;
  const std::string first = host("s0", w.servers[0].port());
  w.serve(first);
  TestSocket caller = w.client();
  caller.send(request("mark"));
  TestSocket server = w.servers[0].accept();
  server.message();
  const double from = seconds();
  w.tell(list(8, true, first + "," + host("s1", late.port())));
  until([&] { return w.metric("members") == 2; });
  server.reset();
  until([&] { return connecting_to(late.port()) || !caller.quiet(); });
  until([&] { return seconds() - from > w.dedup_window; });
  late.peer.accept();
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 502 ")) << "the first may have run";
  EXPECT_EQ(w.metric("upstream_requests"), 1);
}
}  // namespace
}  // namespace asterdrift::node::testing
