// Clients that leave before, while and after their requests are forwarded.
#include <thread>
#include <vector>

#include "support/late_server.h"
#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

TEST(ClientDeparture, AClientThatLeavesWhileItsConnectionComesUpIsNotSentOn) {
  for (const bool may_cancel : {false, true}) {
    for (const bool reset : {false, true}) {
      const LateServer late;
      PatientNodeFixture w;
      w.may_cancel = may_cancel;
      w.serve(host("s0", late.port()));
      TestSocket caller = w.client();
      caller.send(request("close"));
      until([&] { return connecting_to(late.port()); });
      leave(caller, reset);
      until([&] { return !connecting_to(late.port()); });
      EXPECT_EQ(w.metric("upstream_requests"), 0) << may_cancel << kClosesOrResets[reset];
      EXPECT_EQ(w.metric("pending"), 0);
    }
  }
}

TEST(ClientDeparture, EarlyBytesOfANextRequestDoNotHideThatAClientLeaves) {
  for (const std::size_t early : {std::size_t{100}, std::size_t{20000}, std::size_t{500000}}) {
    for (const bool reset : {false, true}) {
      const LateServer late;
      PatientNodeFixture w;
      w.may_cancel = false;
      w.serve(host("s0", late.port()));
      TestSocket caller = w.client();
      caller.send(request("close"));
      until([&] { return connecting_to(late.port()); });
      caller.push(std::string(early, 'x'));
      leave(caller, reset);
      until([&] { return !connecting_to(late.port()); });
      EXPECT_EQ(w.metric("upstream_requests"), 0) << early << kClosesOrResets[reset];
    }
  }
}

// What is kept of a next request is served; what is more than can be kept ends the connection, with the
// answer.
TEST(ClientDeparture, EarlyBytesAreKeptWhereTheyMayBeARequest) {
  PatientNodeFixture w;
  w.serve(host("s0", w.servers[0].port()));
  TestSocket caller = w.client();
  caller.send(request("close", "", "one"));
  TestSocket server = w.servers[0].accept();
  server.message();
  const std::string large(60000, 'y');
  caller.send(request("close", "", large, "r2"));
  server.send(ok("first"));
  EXPECT_TRUE(has(caller.message(), "\r\n\r\nfirst"));
  EXPECT_TRUE(server.message().ends_with("\r\n\r\n" + large));
  EXPECT_EQ(caller.push(std::string(500000, 'x')), 500000U);
  until([&] { return all_read_from(caller.local_port()); });
  server.send(ok("second"));
  const std::string last = caller.message();
  EXPECT_TRUE(has(last, "Connection: close\r\n") && last.ends_with("second")) << last;
  EXPECT_TRUE(caller.ended());
  EXPECT_EQ(w.metric("upstream_requests"), 2);
}

// The request waits in the machine's queue, or unread on a connection that is open.
TEST(ClientDeparture, AClientThatLeavesBeforeItIsReadIsNotSentOn) {
  for (const bool kept : {false, true}) {
    for (const std::size_t early : {std::size_t{0}, std::size_t{40000}}) {
      PatientNodeFixture w;
      w.serve(host("s0", w.servers[0].port()));
      TestSocket caller = w.client(), next = w.client();
      if (kept) {
        caller.send("GET /healthz HTTP/1.1\r\n\r\n");
        caller.message();
      }
      w.node->stop();
      if (!kept) caller = w.client();
      caller.send(request("close", "", "question", "left") + std::string(early, 'x'));
      caller.close();
      next.send(request("close", "", "question", "there"));
      w.node->go_on();
      TestSocket server = w.servers[0].accept();
      EXPECT_TRUE(has(server.message(), "Request-Id: there\r\n"));
      server.send(ok());
      EXPECT_TRUE(has(next.message(), " 200 "));
      until([&] { return w.metric("pending") == 0; });
      EXPECT_EQ(w.metric("upstream_requests"), 1) << kept << early;
    }
  }
}

// Its server takes no bytes, so that its end waits unread behind what the client had still sent.
TEST(ClientDeparture, AnUploadWhoseClientHasLeftIsNotSentOnWhole) {
  for (const bool may_cancel : {false, true}) {
    PatientNodeFixture w;
    w.may_cancel = may_cancel;
    w.serve(host("s0", w.servers[0].port()));
    TestSocket caller = w.client();
    caller.send(head("close") + "Transfer-Encoding: chunked\r\n\r\n");
    const std::size_t rest = fill(caller);
    TestSocket server = w.servers[0].accept();
    std::string end = chunk(std::string(8000, 'u'));
    end = end.substr(end.size() - rest) + "0\r\n\r\n";
    while (!end.empty()) {
      server.bytes(100000);
      end.erase(0, caller.push(end));
    }
    w.node->stop();
    caller.close();
    w.node->go_on();
    std::string all;
    for (std::string more; !(more = server.bytes(100000)).empty();) all += more;
    EXPECT_FALSE(all.ends_with("0\r\n\r\n")) << may_cancel;
    until([&] { return w.metric("pending") == 0; });
    EXPECT_EQ(w.metric("upstream_requests"), 0);
  }
}

// It is noticed although nothing is read from it.
TEST(ClientDeparture, AnUploadThatIsHeldBackFreesItsServerWhenItsClientLeaves) {
  for (const bool reset : {false, true}) {
    const LateServer late;
    PatientNodeFixture w;
    w.may_cancel = false;
    w.serve(host("s0", late.port()));
    TestSocket caller = w.client();
    // More than the node takes, and little enough that the client's end comes in behind it.
    caller.send(head("close") + "Content-Length: 1000000\r\n\r\n" + std::string(175000, 'u'));
    until([&] { return connecting_to(late.port()); });
    leave(caller, reset);
    until([&] { return !connecting_to(late.port()); });
    EXPECT_EQ(w.metric("upstream_requests"), 0) << kClosesOrResets[reset];
  }
}

// What has been written whole is with its server: given up where that is allowed, and left alone where not.
TEST(ClientDeparture, WhatIsWithItsServerIsWithdrawnOnlyWhereThatIsAllowed) {
  for (const bool may_cancel : {false, true}) {
    PatientNodeFixture w;
    w.may_cancel = may_cancel;
    w.serve(host("s0", w.servers[0].port()));
    TestSocket caller = w.client();
    caller.send(request("close"));
    TestSocket server = w.servers[0].accept();
    server.message();
    caller.close();
    until([&] { return w.metric("pending") == 0; });
    if (may_cancel) {
      EXPECT_TRUE(server.ended());
      continue;
    }
    EXPECT_TRUE(server.quiet());
    server.send(ok());  // its late answer is nobody's, and its connection serves the next
    TestSocket next = w.client();
    next.send(request("close", "", "next", "r2"));
    TestSocket again = server.quiet(200) ? w.servers[0].accept() : std::move(server);
    EXPECT_TRUE(has(again.message(), "\r\n\r\nnext"));
    again.send(ok("own"));
    EXPECT_TRUE(has(next.message(), "\r\n\r\nown"));
  }
}
}  // namespace
}  // namespace asterdrift::node::testing
