// The instants in which something ends while something is still owed. Each order is forced by events: a peer
// that comes up late, takes no bytes, breaks off, or a node that is held still while both happen.
#include <thread>
#include <vector>

#include "node_world.h"

namespace asterdrift::node::testing {
namespace {

// A server whose connections do not come up before `open` has been called.
struct LateServer {
  LateServer() : peer(0), crowd(Wire::to(peer.port())) {}
  int port() const { return peer.port(); }
  Wire open() const {
    peer.accept();
    return peer.accept();
  }
  Peer peer;
  Wire crowd;  // its queue has room for this one alone
};

// Nothing but the events of a test ends its requests.
struct PatientWorld : World {
  PatientWorld() {
    connect_timeout = give_up = 600;
    more = R"("management":"127.0.0.1:0",)";
  }
};

void leave(Wire& client, bool reset) { reset ? client.reset() : client.close(); }

constexpr const char* kClosesOrResets[] = {"closes", "resets"};

// ---------------------------------------------------------------- a client that leaves

TEST(Crossing, AClientThatLeavesWhileItsConnectionComesUpIsNotSentOn) {
  for (const bool may_cancel : {false, true}) {
    for (const bool reset : {false, true}) {
      const LateServer late;
      PatientWorld w;
      w.may_cancel = may_cancel;
      w.serve(host("s0", late.port()));
      Wire caller = w.client();
      caller.send(request("close"));
      until([&] { return connecting_to(late.port()); });
      leave(caller, reset);
      until([&] { return !connecting_to(late.port()); });
      EXPECT_EQ(w.figure("upstream_requests"), 0) << may_cancel << kClosesOrResets[reset];
      EXPECT_EQ(w.figure("pending"), 0);
    }
  }
}

TEST(Crossing, EarlyBytesOfANextRequestDoNotHideThatAClientLeaves) {
  for (const std::size_t early : {std::size_t{100}, std::size_t{20000}, std::size_t{500000}}) {
    for (const bool reset : {false, true}) {
      const LateServer late;
      PatientWorld w;
      w.may_cancel = false;
      w.serve(host("s0", late.port()));
      Wire caller = w.client();
      caller.send(request("close"));
      until([&] { return connecting_to(late.port()); });
      caller.push(std::string(early, 'x'));
      leave(caller, reset);
      until([&] { return !connecting_to(late.port()); });
      EXPECT_EQ(w.figure("upstream_requests"), 0) << early << kClosesOrResets[reset];
    }
  }
}

// What is kept of a next request is served; what is more than can be kept ends the connection, with the
// answer.
TEST(Crossing, EarlyBytesAreKeptWhereTheyMayBeARequest) {
  PatientWorld w;
  w.serve(host("s0", w.servers[0].port()));
  Wire caller = w.client();
  caller.send(request("close", "", "one"));
  Wire server = w.servers[0].accept();
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
  EXPECT_EQ(w.figure("upstream_requests"), 2);
}

// The request waits in the machine's queue, or unread on a connection that is open.
TEST(Crossing, AClientThatLeavesBeforeItIsReadIsNotSentOn) {
  for (const bool kept : {false, true}) {
    for (const std::size_t early : {std::size_t{0}, std::size_t{40000}}) {
      PatientWorld w;
      w.serve(host("s0", w.servers[0].port()));
      Wire caller = w.client(), next = w.client();
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
      Wire server = w.servers[0].accept();
      EXPECT_TRUE(has(server.message(), "Request-Id: there\r\n"));
      server.send(ok());
      EXPECT_TRUE(has(next.message(), " 200 "));
      until([&] { return w.figure("pending") == 0; });
      EXPECT_EQ(w.figure("upstream_requests"), 1) << kept << early;
    }
  }
}

// The chunks of an upload: as many as find room while nobody reads them.
std::size_t fill(Wire& caller) {
  const std::string piece = chunk(std::string(8000, 'u'));
  std::size_t rest = 0;
  for (std::size_t sent = piece.size(); sent == piece.size();) {
    sent = caller.push(piece);
    rest = piece.size() - sent;
  }
  return rest;
}

// Its server takes no bytes, so that its end waits unread behind what the client had still sent.
TEST(Crossing, AnUploadWhoseClientHasLeftIsNotSentOnWhole) {
  for (const bool may_cancel : {false, true}) {
    PatientWorld w;
    w.may_cancel = may_cancel;
    w.serve(host("s0", w.servers[0].port()));
    Wire caller = w.client();
    caller.send(head("close") + "Transfer-Encoding: chunked\r\n\r\n");
    const std::size_t rest = fill(caller);
    Wire server = w.servers[0].accept();
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
    until([&] { return w.figure("pending") == 0; });
    EXPECT_EQ(w.figure("upstream_requests"), 0);
  }
}

// It is noticed although nothing is read from it.
TEST(Crossing, AnUploadThatIsHeldBackFreesItsServerWhenItsClientLeaves) {
  for (const bool reset : {false, true}) {
    const LateServer late;
    PatientWorld w;
    w.may_cancel = false;
    w.serve(host("s0", late.port()));
    Wire caller = w.client();
    // More than the node takes, and little enough that the client's end comes in behind it.
    caller.send(head("close") + "Content-Length: 1000000\r\n\r\n" + std::string(175000, 'u'));
    until([&] { return connecting_to(late.port()); });
    leave(caller, reset);
    until([&] { return !connecting_to(late.port()); });
    EXPECT_EQ(w.figure("upstream_requests"), 0) << kClosesOrResets[reset];
  }
}

// What has been written whole is with its server: given up where that is allowed, and left alone where not.
TEST(Crossing, WhatIsWithItsServerIsWithdrawnOnlyWhereThatIsAllowed) {
  for (const bool may_cancel : {false, true}) {
    PatientWorld w;
    w.may_cancel = may_cancel;
    w.serve(host("s0", w.servers[0].port()));
    Wire caller = w.client();
    caller.send(request("close"));
    Wire server = w.servers[0].accept();
    server.message();
    caller.close();
    until([&] { return w.figure("pending") == 0; });
    if (may_cancel) {
      EXPECT_TRUE(server.ended());
      continue;
    }
    EXPECT_TRUE(server.quiet());
    server.send(ok());  // its late answer is nobody's, and its connection serves the next
    Wire next = w.client();
    next.send(request("close", "", "next", "r2"));
    Wire again = server.quiet(200) ? w.servers[0].accept() : std::move(server);
    EXPECT_TRUE(has(again.message(), "\r\n\r\nnext"));
    again.send(ok("own"));
    EXPECT_TRUE(has(next.message(), "\r\n\r\nown"));
  }
}

// ---------------------------------------------------------------- a connection that is closed for its age

// A busy moment: more has come than is read in one round, and it is time to close what has sent nothing.
TEST(Crossing, AConnectionIsNotClosedOverARequestThatIsNotReadYet) {
  PatientWorld w;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<Wire> fresh;
  for (int i = 0; i < 300; ++i) fresh.push_back(w.client());
  w.health();  // behind them in the machine's queue: they have been taken
  const double from = seconds();
  w.node->stop();
  until([&] { return seconds() - from > 2.6; });
  for (Wire& client : fresh) client.send("GET /healthz HTTP/1.1\r\n\r\n");
  w.node->go_on();
  int answered = 0;
  for (Wire& client : fresh) answered += static_cast<int>(has(client.message(), " 200 "));
  EXPECT_EQ(answered, 300);
}

// ---------------------------------------------------------------- a list that ends, drips or never comes

// The same list, laid out over many lines.
std::string indented(const std::string& line) {
  std::string out;
  for (const char c : line) {
    out += c;
    if (c == '{' || c == '[' || c == ',') out += "\r\n    ";
  }
  return out;
}

// Asks until an answer comes from the server that is meant.
void served_by(World& w, Wire& caller, const Peer& peer) {
  until([&] {
    caller.send(request("close"));
    until([&] { return !caller.quiet() || !w.servers[0].quiet() || !w.servers[1].quiet(); });
    if (!caller.quiet()) return caller.message().empty();  // refused: none is there
    Wire server = w.next();
    while (server.message().empty()) server = w.next();  // one that a change of the list has stopped
    server.send(with_length("HTTP/1.1 200 OK\r\nConnection: close\r\n", "answer"));
    caller.message();
    return server.local_port() == peer.port();
  });
}

TEST(Crossing, ListsMayComeIndentedAndCutAnywhere) {
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{100000}}) {
    PatientWorld w;
    w.start();
    w.take_watch();
    const auto tell = [&](const std::string& text) {
      for (std::size_t at = 0; at < text.size(); at += piece) w.tell(text.substr(at, piece));
    };
    std::string odd = host("s}]\\\"", w.servers[1].port(), "leaving");  // brackets in a text are none
    tell(indented(list(7, true, host("s0", w.servers[0].port()) + "," + odd)) + "\n");
    w.await_ready();
    Wire caller = w.client();
    served_by(w, caller, w.servers[0]);
    EXPECT_EQ(w.figure("members"), 2);
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
TEST(Crossing, ListsThatCanNotBeReadEndTheirWatch) {
  PatientWorld w;
  w.serve(host("s0", w.servers[0].port()));
  for (const std::string spoilt : {R"({"seq":8,"hosts":[})",
                                   R"({"seq":8,"ho)"
                                   "\n",
                                   "]", "seq", R"({"seq":8})"}) {
    w.tell(spoilt);
    EXPECT_TRUE(w.watch.ended()) << spoilt;
    EXPECT_TRUE(has(w.take_watch(), "GET /v1/servers?stream=1 HTTP/1.1\r\n")) << spoilt;
    w.tell(list(7, true, host("s0", w.servers[0].port())));
  }
  Wire caller = w.client();
  served_by(w, caller, w.servers[0]);
}

// Bytes that make no line and no list are no sign of life.
TEST(Crossing, AWatchThatDripsIsBroken) {
  for (const std::string begins : {"", "{\"seq\":8,"}) {
    PatientWorld w;
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
TEST(Crossing, ASilentAgentIsAskedAgainAtOnce) {
  PatientWorld w;
  w.asks = false;
  w.serve(host("s0", w.servers[0].port()));
  double gaps = 0;
  Wire silent = std::move(w.watch);
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(silent.ended());
    const double from = seconds();
    silent = w.discovery.accept();
    gaps += seconds() - from;
    EXPECT_TRUE(has(silent.message(), "stream=1&index=7 "));
  }
  EXPECT_LT(gaps, 2) << "half a second, and what a busy machine adds";
  silent.send(kWatchHead + chunk(list(8, true, host("s1", w.servers[1].port()))));
  Wire caller = w.client();
  served_by(w, caller, w.servers[1]);
}

// A new configuration amid a silence: the old watch says nothing more, and the new address is silent at
// first.
TEST(Crossing, AMoveAmidASilenceIsFollowed) {
  for (const bool asks : {false, true}) {
    PatientWorld w;
    w.asks = asks;
    w.serve(host("s0", w.servers[0].port()));
    const Peer elsewhere;
    w.node->reload(moved(w, elsewhere));
    Wire silent = elsewhere.accept();
    EXPECT_TRUE(has(silent.message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n"));
    EXPECT_TRUE(silent.ended());
    Wire next = elsewhere.accept();
    EXPECT_TRUE(has(next.message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n")) << "still the whole list";
    EXPECT_TRUE(w.discovery.quiet()) << "nobody asks the old address again";
    next.send(kWatchHead + chunk(indented(list(3, true, host("s1", w.servers[1].port())))));
    EXPECT_TRUE(w.watch.ended());
    Wire caller = w.client();
    served_by(w, caller, w.servers[1]);
  }
}

// What a new process knows from before may be old, and what its agent has counts as told from its start.
TEST(Crossing, ANewProcessSendsNothingBeforeItHasHeardOfTheServers) {
  PatientWorld w;
  std::string known = list(3, true, host("s0", w.servers[0].port()));
  known.pop_back();
  w.known = "\"known\":" + known + ",";
  w.start();
  w.discovery.accept().send(with_length("HTTP/1.1 503 Busy\r\n", ""));
  w.node->log("keeping the last endpoint list");
  Wire caller = w.client();
  caller.send(request("close"));
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 503 "));
  EXPECT_TRUE(has(w.health(), "HTTP/1.1 503 "));
  w.take_watch();
  w.tell(list(4, false, host("s0", w.servers[0].port(), "leaving") + "," + host("s1", w.servers[1].port())));
  w.await_ready();
  Wire next = w.client();
  served_by(w, next, w.servers[1]);
  EXPECT_TRUE(w.servers[0].quiet());
}

// ---------------------------------------------------------------- both ends at once

// The answer and the client's end are there together, in either order, and again where it is the server that
// ends.
TEST(Crossing, AnAnswerThatCrossesItsClientsEndIsNobodysAndDoesNoHarm) {
  for (const bool answer_first : {false, true}) {
    for (const bool reset : {false, true}) {
      PatientWorld w;
      w.serve(host("s0", w.servers[0].port()));
      Wire caller = w.client();
      caller.send(request("close"));
      Wire server = w.servers[0].accept();
      server.message();
      w.node->stop();
      if (answer_first) server.send(ok("stray"));
      leave(caller, reset);
      if (!answer_first) server.send(ok("stray"));
      w.node->go_on();
      until([&] { return w.figure("pending") == 0; });
      Wire next = w.client();
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
TEST(Crossing, AKeptConnectionThatEndsAsItsNextRequestComesIsNotUsed) {
  for (const bool reset : {false, true}) {
    PatientWorld w;
    w.serve(host("s0", w.servers[0].port()));
    Wire caller = w.client();
    caller.send(request("close"));
    Wire server = w.servers[0].accept();
    server.message();
    server.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 "));
    w.node->stop();
    caller.send(request("close", "", "next"));  // is read first
    leave(server, reset);
    w.node->go_on();
    Wire fresh = w.servers[0].accept();
    EXPECT_TRUE(fresh.message().ends_with("\r\n\r\nnext"));
    fresh.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 "));
    EXPECT_EQ(w.figure("upstream_requests"), 2);
  }
}

// What a server has begun to get before the node is told that it leaves comes to its end there.
TEST(Crossing, AnUploadThatHasBegunOutlivesTheWordThatItsServerLeaves) {
  PatientWorld w;
  w.serve(host("s0", w.servers[0].port()));
  Wire caller = w.client();
  const std::string body(300000, 'u');
  caller.send(head("close") + "Content-Length: 300000\r\n\r\n" + body.substr(0, 200000));
  Wire server = w.servers[0].accept();
  server.up_to("\r\n\r\n");
  EXPECT_EQ(server.bytes(200000).size(), 200000U);
  w.tell(list(8, false, host("s0", w.servers[0].port(), "leaving")));
  until([&] { return w.figure("members_unavailable") == 1; });
  caller.send(body.substr(200000));
  EXPECT_EQ(server.bytes(100000).size(), 100000U);
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  caller.send(request("close", "", "next", "r2"));
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 503 ")) << "and nothing new goes there";
}

// ---------------------------------------------------------------- a repeat

// Its server would take it for a new one: it has forgotten the first by then.
TEST(Crossing, ARepeatWhoseConnectionComesUpAfterItsWindowIsNotSent) {
  const LateServer late;
  PatientWorld w;
  w.dedup_window = 0.5;
  const std::string first = host("s0", w.servers[0].port());
  w.serve(first);
  Wire caller = w.client();
  caller.send(request("mark"));
  Wire server = w.servers[0].accept();
  server.message();
  const double from = seconds();
  w.tell(list(8, true, first + "," + host("s1", late.port())));
  until([&] { return w.figure("members") == 2; });
  server.reset();
  until([&] { return connecting_to(late.port()) || !caller.quiet(); });
  until([&] { return seconds() - from > w.dedup_window; });
  late.peer.accept();
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 502 ")) << "the first may have run";
  EXPECT_EQ(w.figure("upstream_requests"), 1);
}

// ---------------------------------------------------------------- a request whose time is up

// What never left is refused, with advice where that is allowed, and is not sent afterwards.
TEST(Crossing, ADrainsEndRefusesWhatHasNotBeenSent) {
  for (const bool may : {false, true}) {
    const LateServer late;
    PatientWorld w;
    w.may_cancel = w.may_advise = may;
    w.serve(host("s0", late.port()));
    Wire caller = w.client();
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
TEST(Crossing, ASecondSigtermChangesNothingAndLateRequestsAreAnswered) {
  PatientWorld w;
  w.serve(host("s0", w.servers[0].port()));
  Wire early = w.client(), late = w.client();
  early.send(request("close", "", "question", "early"));
  Wire server = w.servers[0].accept();
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
  for (Wire* caller : {&early, &late}) {
    EXPECT_TRUE(has(caller->message(), "HTTP/1.1 50"));
    EXPECT_TRUE(caller->ended());
  }
  EXPECT_EQ(w.node->exit_code(), 0);
}

}  // namespace
}  // namespace asterdrift::node::testing
