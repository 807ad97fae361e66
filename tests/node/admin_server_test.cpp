// What the node offers to its operators: the second address and its figures.
#include <vector>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

const std::string kAdmin = R"("management":"127.0.0.1:0",)";

TEST(Operators, AreToldWhetherTheNodeCanServe) {
  NodeFixture w;
  w.more = kAdmin;
  w.start();
  EXPECT_TRUE(has(w.admin_call("/ready"), "HTTP/1.1 503 "));
  w.take_watch();
  w.tell(list(7, true, w.both()));
  w.await_ready();
  EXPECT_TRUE(has(w.admin_call("/ready"), "HTTP/1.1 200 "));
  w.node->signal(SIGTERM);
  w.node->log("draining");
  EXPECT_TRUE(has(w.admin_call("/ready"), "HTTP/1.1 503 "));
}

TEST(Operators, HaveAnAddressOfTheirOwn) {
  NodeFixture w;
  w.serve(w.both());
  EXPECT_FALSE(has(w.node->log("\n"), "admin server")) << "where none is told, none is opened";
  for (const char* path : {"/ready", "/metrics"}) {
    TestSocket caller = w.client();
    caller.send("GET " + std::string(path) + " HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(has(caller.message(), "HTTP/1.1 404 ")) << path;
  }
  NodeProcess node(w.config(), 1024, {{"GW_MANAGEMENT", "127.0.0.1:0"}});
  EXPECT_GT(node.admin_port(), 0) << "the environment tells it too";
}

TEST(Operators, AreToldWhatIsWrongWithACall) {
  NodeFixture w;
  w.more = kAdmin;
  w.serve(w.both());
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"404", "GET / HTTP/1.1\r\n\r\n"},
      {"404", "GET /api HTTP/1.1\r\n\r\n"},
      {"404", "POST /healthz HTTP/1.1\r\nContent-Length: 5\r\n\r\n"},
      {"405", "POST /ready HTTP/1.1\r\nContent-Length: 5\r\n\r\n"},
      {"405", "DELETE /metrics HTTP/1.1\r\n\r\n"},
      {"400", "nonsense\r\n\r\n"},
      {"400", "GET /ready\r\n\r\n"},
      {"431", "GET /ready HTTP/1.1\r\nX: " + std::string(20000, 'x')},
      {"431", "GET /ready HTTP/1.1\r\n" + repeated("X: y\r\n", 4000)},
      {"200", "GET /ready?now HTTP/1.1\r\n\r\nGET /ready HTTP/1.1\r\n\r\n"},
  };
  for (const auto& [status, text] : cases) {
    TestSocket caller = TestSocket::to(w.node->admin_port());
    caller.send(text);
    const std::string got = caller.message();
    EXPECT_TRUE(has(got, "HTTP/1.1 " + status)) << got << text.substr(0, 100);
    EXPECT_TRUE(caller.ended()) << "one call to a connection";
  }
  TestSocket silent = TestSocket::to(w.node->admin_port()), half = TestSocket::to(w.node->admin_port());
  half.send("GET /ready HTTP/1.1\r\n");
  EXPECT_TRUE(has(half.message(), "HTTP/1.1 408 "));
  EXPECT_TRUE(half.ended());
  EXPECT_TRUE(silent.ended());
}

TEST(Operators, GetAnswersBesidePeersThatHoldOn) {
  NodeFixture w;
  w.more = kAdmin;
  w.sockets = 100;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TestSocket> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(TestSocket::to(w.node->admin_port()));
    if (i % 2 == 0) crowd.back().send("GET /metrics HTTP/1.1\r\n");
    crowd.push_back(w.client());
  }
  EXPECT_TRUE(has(w.admin_call("/ready"), "HTTP/1.1 200 "));
  EXPECT_EQ(w.metric("members"), 1);
  TestSocket caller = w.client();
  caller.send(request("close"));
  TestSocket server = w.servers[0].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 ")) << "and callers keep theirs";
}

TEST(Operators, AnAddressThatCantBeUsedEndsTheStart) {
  NodeFixture w;
  for (const auto& [address, code] :
       {std::pair{std::string("nowhere"), 2}, {"127.0.0.1:" + std::to_string(w.servers[0].port()), 1}}) {
    w.more = R"("management":")" + address + "\",";
    NodeProcess node(w.config());
    EXPECT_EQ(node.exit_code(), code);
    EXPECT_TRUE(has(node.log(""), "load-balancer-node: ")) << node.log("");
  }
}

TEST(Figures, AreThereFromTheStart) {
  NodeFixture w;
  w.more = kAdmin;
  w.start();
  const std::string all = w.admin_call("/metrics");
  EXPECT_TRUE(has(all,
                  "app.downstream_requests.mark.completed:0|c\n"
                  "app.downstream_requests.mark.rejected:0|c\n"
                  "app.downstream_requests.mark.failed:0|c\n"
                  "app.downstream_requests.close.completed:0|c\n"
                  "app.downstream_requests.close.rejected:0|c\n"
                  "app.downstream_requests.close.failed:0|c\n"
                  "app.upstream_requests:0|c\n"
                  "app.pending:0|g\n"
                  "app.members:0|g\n"
                  "app.members_unavailable:0|g\n"))
      << all;
}

TEST(Figures, FollowWhatBecomesOfRequests) {
  NodeFixture w;
  w.more = kAdmin;
  w.serve(w.both() + "," + host("s2", 1, "leaving"));
  const std::string close = "downstream_requests.close.", mark = "downstream_requests.mark.";
  EXPECT_EQ(w.metric("members"), 3);
  EXPECT_EQ(w.metric("members_unavailable"), 1);

  // Sent twice, since the first server has not begun it; then served.
  TestSocket caller = w.client();
  caller.send(request("close"));
  TestSocket first = w.next();
  first.message();
  first.send(with_length("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nConnection: close\r\n", ""));
  TestSocket second = w.next();
  second.message();
  EXPECT_EQ(w.metric("pending"), 1);
  EXPECT_EQ(w.metric("upstream_requests"), 2);
  EXPECT_EQ(w.metric(close + "completed"), 0);
  second.send(ok());
  caller.message();
  EXPECT_EQ(w.metric(close + "completed"), 1);
  EXPECT_EQ(w.metric("pending"), 0);

  // Failed: it may have run.
  caller.send(request("close", "", "question", "r2"));
  TestSocket third;
  until([&] {
    if (!second.quiet()) return (third = std::move(second), true);
    if (!w.servers[0].quiet() || !w.servers[1].quiet()) return (third = w.next(), true);
    return false;
  });
  third.message();
  third.send(with_length("HTTP/1.1 500 Error\r\nConnection: close\r\n", ""));
  caller.message();
  EXPECT_EQ(w.metric(close + "failed"), 1);
  EXPECT_EQ(w.metric("upstream_requests"), 3);

  // Abandoned by its client.
  TestSocket leaves = w.client();
  leaves.send(request("mark", "", "question", "r3"));
  until([&] { return w.metric("pending") == 1; });
  leaves.close();
  until([&] { return w.metric("pending") == 0; });
  EXPECT_EQ(w.metric(mark + "completed") + w.metric(mark + "rejected"), 0);

  // Refused: there is nobody to send it to.
  w.tell(list(8, true, ""));
  until([&] { return w.metric("members") == 0; });
  TestSocket refused = w.client();
  refused.send(request("mark", "", "question", "r4"));
  EXPECT_TRUE(has(refused.message(), "HTTP/1.1 503 "));
  EXPECT_EQ(w.metric(mark + "rejected"), 1);
  EXPECT_EQ(w.metric(close + "completed"), 1) << "counters stay";
}

}  // namespace
}  // namespace asterdrift::node::testing
