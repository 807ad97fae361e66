// Graceful shutdown after SIGTERM.
#include <sstream>
#include <thread>
#include <vector>

#include "support/late_server.h"
#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

TEST(Shutdown, DrainsOnSigterm) {
  NodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  TestSocket kept = w.client(), busy = w.client();
  kept.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(kept.message(), "HTTP/1.1 200 "));
  busy.send(request("close"));
  TestSocket server = w.servers[0].accept();
  server.message();
  w.node->signal(SIGTERM);
  const double from = seconds();
  w.node->log("draining");
  kept.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(kept.message(), "HTTP/1.1 503 "));
  kept.send(request("close", "", "question",
                    "r2"));  // clients go on using what they have, and may have no other node
  TestSocket second = w.servers[0].accept();
  second.message();
  second.send(ok());
  EXPECT_TRUE(has(kept.message(), " 200 "));
  TestSocket late = w.client();  // the node has long been told: it still accepts
  late.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(late.message(), "HTTP/1.1 503 "));
  EXPECT_TRUE(late.ended()) << "idle connections are closed before the end";
  EXPECT_TRUE(kept.ended());
  EXPECT_GT(seconds() - from, 1.5);
  server.send(ok());
  EXPECT_TRUE(has(busy.message(), "Connection: close\r\n"));
  EXPECT_TRUE(busy.ended());
  EXPECT_EQ(w.node->exit_code(), 0);
  EXPECT_LT(seconds() - from, 3.7);
}

// The node's own deadline, where neither the module nor the client ends a request in time.
TEST(Shutdown, AnswersWhatIsOpenBeforeItIsKilled) {
  NodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  TestSocket caller = w.client();
  caller.send(request("close", "Request-Timeout-Ms: 60000\r\n"));
  TestSocket server = w.servers[0].accept();
  server.message();
  w.node->signal(SIGTERM);
  const double from = seconds();
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 50"));
  EXPECT_EQ(w.node->exit_code(), 0);
  EXPECT_LT(seconds() - from, 4.5);
}

// What never left is refused, with advice where that is allowed, and is not sent afterwards.
TEST(Shutdown, ADrainsEndRejectsWhatHasNotBeenSent) {
  for (const bool may : {false, true}) {
    const LateServer late;
    PatientNodeFixture w;
    w.may_cancel = w.may_advise = may;
    w.serve(host("s0", late.port()));
    TestSocket caller = w.client();
    caller.send(request("close"));
    until([&] { return connecting_to(late.port()); });
    w.node->signal(SIGTERM);
    const std::string got = caller.message();
    EXPECT_TRUE(has(got, "HTTP/1.1 503 ")) << got;
    EXPECT_EQ(has(got, "Retry-After: "), may) << got;
    EXPECT_FALSE(connecting_to(late.port()));
    EXPECT_EQ(w.node->exit_code(), 0);
  }
}

// A request that comes in the middle of the drain, and one whose last byte comes when the last answers are
// due.
TEST(Shutdown, ASecondSigtermChangesNothingAndLateRequestsAreAnswered) {
  PatientNodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  TestSocket early = w.client(), late = w.client();
  early.send(request("close", "", "question", "early"));
  TestSocket server = w.servers[0].accept();
  server.message();
  w.node->signal(SIGTERM);
  w.node->log("draining");
  const double from = seconds();
  w.node->signal(SIGTERM);
  server.send(ok());
  EXPECT_TRUE(has(early.message(), " 200 "));
  early.send(request("close", "", "question", "again"));
  EXPECT_TRUE(has(server.message(), "Request-Id: again\r\n"));
  const std::string text = request("close", "", "question", "late");
  late.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(late.message(), "HTTP/1.1 503 "));
  until([&] { return seconds() - from > 2.9; });
  late.send(text.substr(0, text.size() - 1));
  until([&] { return seconds() - from > 3.2; });
  late.send(text.substr(text.size() - 1));
  for (TestSocket* caller : {&early, &late}) {
    EXPECT_TRUE(has(caller->message(), "HTTP/1.1 50"));
    EXPECT_TRUE(caller->ended());
  }
  EXPECT_EQ(w.node->exit_code(), 0);
}
}  // namespace
}  // namespace asterdrift::node::testing
