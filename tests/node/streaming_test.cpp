// Bodies too large to be kept, those that come slowly or in pieces, and those that break.
#include <chrono>
#include <thread>
#include <vector>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

constexpr std::size_t kMega = 1024UL * 1024;

// No two stretches of it are alike: what is lost, doubled or moved shows.
std::string body_of(std::size_t size) {
  std::string out(size, '\0');
  std::uint32_t state = 12345;
  for (char& byte : out) {
    state = state * 1664525 + 1013904223;
    byte = static_cast<char>(state >> 24);
  }
  return out;
}

// The body of a chunked message; `whole` says whether its last chunk has come.
std::string unchunked(TestSocket& from, bool& whole) {
  std::string out;
  whole = false;
  while (true) {
    const std::string size = from.up_to("\r\n");
    if (!size.ends_with("\r\n")) return out;
    const std::size_t bytes = std::stoul(size, nullptr, 16);
    if (bytes == 0) {
      whole = from.up_to("\r\n") == "\r\n";
      return out;
    }
    const std::string chunk = from.bytes(bytes + 2);
    out += chunk.substr(0, bytes);
    if (chunk.size() < bytes + 2) return out;
  }
}

std::string length(std::size_t bytes) { return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n"; }

// One server, operators' address, and what one request needs.
struct OneServer : NodeFixture {
  OneServer() {
    more = R"("management":"127.0.0.1:0",)";
    serve(host("s0", servers[0].port()));
  }
  TestSocket ask(TestSocket& caller) {
    caller.send(request("close"));
    TestSocket server = servers[0].accept();
    server.message();
    return server;
  }
  long memory_kb() const {
    std::ifstream status(node->folder() + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmHWM:", 0) == 0) return std::stol(line.substr(6));
    }
    return -1;
  }
};

TEST(Stream, LargeAnswersPassInBoundedMemory) {
  OneServer w;
  const std::string body = body_of(32 * kMega);
  TestSocket caller = w.client();
  TestSocket server = w.ask(caller);
  server.send("HTTP/1.1 200 OK\r\n" + length(body.size()));
  const std::size_t sent = server.push(body);
  EXPECT_LT(sent, 24 * kMega) << "a client that takes nothing holds its server back";
  std::thread rest([&] { server.send(body.substr(sent)); });
  const std::string head = caller.up_to("\r\n\r\n");
  EXPECT_TRUE(has(head, "HTTP/1.1 200 OK\r\n") && has(head, "Content-Length: 33554432\r\n")) << head;
  EXPECT_TRUE(caller.bytes(body.size()) == body);
  rest.join();
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LT(w.memory_kb(), 16 * 1024);
#endif
  until([&] { return w.metric("downstream_requests.close.completed") == 1; });
  EXPECT_EQ(w.metric("pending"), 0);
  caller.send(request("close", "", "question", "r2"));
  EXPECT_TRUE(has(server.message(), "question")) << "both connections serve on";
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

TEST(Stream, AnswersOfAnyFramingPassUnchanged) {
  const std::string body = body_of(300000);
  std::string chunked;
  for (std::size_t at = 0, size = 1; at < body.size(); at += size, size = size % 50000 * 3 + 1) {
    std::string next = chunk(body.substr(at, size));
    chunked += next.insert(next.find("\r\n"), ";name=value");
  }
  const std::string good = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> answers = {
      good + "Transfer-Encoding: chunked\r\n\r\n" + chunked + "0\r\nTrailer: x\r\n\r\n",
      good + "Connection: close\r\n\r\n" + body,
      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good + length(body.size()) + body,
  };
  for (const std::string& answer : answers) {
    for (const std::size_t piece : {std::size_t{1000000}, std::size_t{777}}) {
      OneServer w;
      TestSocket caller = w.client();
      TestSocket server = w.ask(caller);
      std::thread giving([&] {
        for (std::size_t at = 0; at < answer.size(); at += piece) server.send(answer.substr(at, piece));
        if (has(answer.substr(0, 100), "Connection: close")) server.close();
      });
      const std::string head = caller.up_to("\r\n\r\n");
      EXPECT_TRUE(has(head, "HTTP/1.1 200 OK\r\n")) << head;
      bool whole = true;
      const std::string got = has(head, "chunked") ? unchunked(caller, whole) : caller.bytes(body.size());
      EXPECT_TRUE(whole && got == body) << answer.substr(0, 80);
      giving.join();
    }
  }
}

TEST(Stream, SmallAnswersThatEndWithTheirConnectionAreWhole) {
  OneServer w;
  TestSocket caller = w.client();
  TestSocket server = w.ask(caller);
  server.send("HTTP/1.1 200 OK\r\n\r\nno length");
  server.close();
  EXPECT_TRUE(has(caller.message(), "Content-Length: 9\r\n\r\nno length"));
}

// What an HTTP/1.0 client reads ends with its connection.
TEST(Stream, OldClientsGetNoChunks) {
  OneServer w;
  const std::string body = body_of(200000);
  TestSocket caller = w.client();
  std::string asked = request("close");
  caller.send(asked.replace(asked.find("HTTP/1.1"), 8, "HTTP/1.0"));
  TestSocket server = w.servers[0].accept();
  server.message();
  server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n");
  EXPECT_FALSE(has(caller.up_to("\r\n\r\n"), "chunked"));
  EXPECT_TRUE(caller.bytes(body.size()) == body);
  EXPECT_TRUE(caller.ended());
}

TEST(Stream, TheFirstBytesWaitForNothing) {
  for (const bool length_known : {true, false}) {
    OneServer w;
    TestSocket caller = w.client();
    TestSocket server = w.ask(caller);
    server.send(length_known ? "HTTP/1.1 200 OK\r\n" + length(1000000) + "begins"
                             : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("begins"));
    EXPECT_TRUE(has(caller.up_to("begins"), "begins")) << "although nothing more has come";
    EXPECT_EQ(w.metric("pending"), 1);
    caller.close();
    EXPECT_TRUE(server.ended()) << "a client that leaves frees what it held";
    until([&] { return w.metric("pending") == 0; });
    EXPECT_EQ(w.metric("downstream_requests.close.completed"), 0);
  }
}

TEST(Stream, AnAnswerThatBreaksShowsAsBroken) {
  for (const std::string& head : {length(1000000), std::string("Transfer-Encoding: chunked\r\n\r\n")}) {
    OneServer w;
    const std::string begins = body_of(100000);
    TestSocket caller = w.client();
    TestSocket server = w.ask(caller);
    const bool chunked = has(head, "chunked");
    server.send("HTTP/1.1 200 OK\r\n" + head + (chunked ? chunk(begins) : begins));
    caller.up_to("\r\n\r\n");
    server.close();
    bool whole = true;
    if (chunked) {
      EXPECT_TRUE(unchunked(caller, whole) == begins);
      EXPECT_FALSE(whole);
    } else {
      EXPECT_TRUE(caller.bytes(1000000) == begins);
    }
    EXPECT_TRUE(caller.ended());
    until([&] { return w.metric("downstream_requests.close.failed") == 1; });
    EXPECT_TRUE(w.servers[0].quiet()) << "what has begun is not asked for again";
  }
}

TEST(Stream, LargeRequestsPassInBoundedMemory) {
  for (const bool chunked : {false, true}) {
    OneServer w;
    const std::string body = body_of(32 * kMega);
    TestSocket caller = w.client();
    caller.send(head("close") + "Expect: 100-continue\r\n" +
                (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : length(body.size())));
    EXPECT_TRUE(has(caller.up_to("\r\n\r\n"), "HTTP/1.1 100 Continue"));
    std::string sent = body;
    if (chunked) {
      sent.clear();
      for (std::size_t at = 0; at < body.size(); at += 100000) sent += chunk(body.substr(at, 100000));
      sent += "0\r\nTrailer: x\r\n\r\n";
    }
    const std::size_t before = caller.push(sent);
    EXPECT_LT(before, 24 * kMega) << "a server that takes nothing holds its client back";
    std::thread rest([&] { caller.send(sent.substr(before) + request("close", "", "next", "r2")); });
    TestSocket server = w.servers[0].accept();
    const std::string got = server.up_to("\r\n\r\n");
    bool whole = true;
    EXPECT_EQ(has(got, "Transfer-Encoding: chunked\r\n"), chunked) << got;
    EXPECT_TRUE((chunked ? unchunked(server, whole) : server.bytes(body.size())) == body);
    EXPECT_TRUE(whole);
    rest.join();
    EXPECT_EQ(w.metric("upstream_requests"), 1);
    server.send(ok("first"));
    EXPECT_TRUE(has(caller.message(), "\r\n\r\nfirst"));
    EXPECT_TRUE(has(server.message(), "\r\n\r\nnext"));
    server.send(ok("second"));
    EXPECT_TRUE(has(caller.message(), "\r\n\r\nsecond"));
#ifndef __SANITIZE_ADDRESS__
    EXPECT_LT(w.memory_kb(), 16 * 1024);
#endif
  }
}

// While all that has come is still here, a request may go elsewhere; what has gone can't be sent again.
TEST(Stream, OnlyWhatIsStillHereIsSentAgain) {
  const std::string body = body_of(32 * kMega), begins = body.substr(0, 66000);
  {
    NodeFixture w;
    w.servers[0].refuse();
    w.serve(w.both());
    TestSocket caller, server;
    for (int i = 0; i < 6; ++i) {  // the server that is not there is tried first now and then
      caller = w.client();
      caller.send(head("close", "r" + std::to_string(i)) + length(begins.size()) + begins);
      if (i == 0) server = w.servers[1].accept();
      server.up_to("\r\n\r\n");
      EXPECT_TRUE(server.bytes(begins.size()) == begins);
      server.send(ok());
      EXPECT_TRUE(has(caller.message(), " 200 "));
    }
  }
  NodeFixture w;
  w.serve(w.both());
  TestSocket caller = w.client();
  std::thread asking([&] { caller.push(head("mark") + length(body.size()) + body); });
  TestSocket server = w.next();
  server.up_to("\r\n\r\n");
  server.bytes(kMega);
  server.reset();
  asking.join();
  const std::string got = caller.message();
  EXPECT_TRUE(has(got, "HTTP/1.1 503 ")) << "no server has begun it: " << got;
  EXPECT_TRUE(w.servers[0].quiet() && w.servers[1].quiet());
}

TEST(Stream, AClientThatLeavesMidwayIsNoRequest) {
  OneServer w;
  TestSocket caller = w.client();
  caller.send(head("close") + length(kMega) + body_of(100000));
  TestSocket server = w.servers[0].accept();
  server.up_to("\r\n\r\n");
  server.bytes(100000);
  EXPECT_EQ(w.metric("pending"), 1);
  caller.close();
  EXPECT_TRUE(server.ended());
  until([&] { return w.metric("pending") == 0; });
  EXPECT_EQ(w.metric("upstream_requests"), 0) << "none was written whole";
}

TEST(Stream, AServerMayAnswerBeforeItHasHeardAll) {
  OneServer w;
  TestSocket caller = w.client();
  caller.send(head("close") + length(kMega) + body_of(100000));
  TestSocket server = w.servers[0].accept();
  server.up_to("\r\n\r\n");
  server.send(with_length("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\n", ""));
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 503 "));
  EXPECT_LT(server.bytes(kMega).size(), kMega) << "its connection is of no further use";
}

// Malformed only after the engine has it: nothing of it may come to its end at a server.
TEST(Stream, ABodyThatTurnsOutUnsoundIsCutOff) {
  OneServer w;
  TestSocket caller = w.client();
  caller.send(head("close") + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body_of(100000)));
  TestSocket server = w.servers[0].accept();
  server.up_to("\r\n\r\n");
  caller.send("zz\r\n");
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 400 "));
  EXPECT_TRUE(caller.ended());
  bool whole = true;
  unchunked(server, whole);
  EXPECT_FALSE(whole);
}

TEST(Stream, BodiesThatNobodyWantsAreNotKept) {
  OneServer w;
  std::vector<TestSocket> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(w.client());
    std::thread asking([&] {
      callers.back().send("POST /nowhere HTTP/1.1\r\n" + length(8 * kMega) + std::string(8 * kMega, 'x'));
    });
    EXPECT_TRUE(has(callers.back().message(), "HTTP/1.1 404 "));
    asking.join();
  }
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LT(w.memory_kb(), 16 * 1024);
#endif
}

// What is still passing when the drain's time is up is not cut off by the process itself.
TEST(Stream, ALargeAnswerOutlivesTheDrain) {
  OneServer w;
  TestSocket caller = w.client(), part = w.client();
  TestSocket server = w.ask(caller);
  server.send("HTTP/1.1 200 OK\r\n" + length(1000000) + "begins");
  caller.up_to("begins");
  w.node->signal(SIGTERM);
  w.node->log("draining");
  const double from = seconds();
  std::string sent = head("close", "r2") + length(400000) + body_of(200000);
  until(
      [&] {  // slowly enough to be still on its way at the end, and quickly enough not to be cut off for that
        const std::size_t piece = std::min<std::size_t>(sent.size(), 6000);
        if (piece > 0) part.send(sent.substr(0, piece));
        sent.erase(0, piece);
        return !part.quiet(100);
      });
  EXPECT_TRUE(has(part.message(), "HTTP/1.1 503 ")) << "told, not dropped; no server has begun it";
  EXPECT_GT(seconds() - from, 3);
  EXPECT_TRUE(part.ended());
  EXPECT_TRUE(caller.quiet(300));
  server.send(std::string(1000000 - 6, 'x'));
  EXPECT_EQ(caller.bytes(1000000 - 6).size(), 1000000U - 6);
  EXPECT_EQ(w.node->exit_code(), 0);
}

TEST(Stream, SlowClientsAreServedAndSilentOnesAreNot) {
  OneServer w;
  TestSocket slow = w.client(), silent = w.client();
  const std::string body = body_of(200000), text = head("close") + length(body.size());
  silent.send(head("close", "r2") + length(body.size()) + body.substr(0, 1000));
  std::thread asking([&] {
    for (std::size_t at = 0; at < text.size(); at += 20) {
      slow.send(text.substr(at, 20));
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    for (std::size_t at = 0; at < body.size(); at += 6400) {  // 64 kB/s
      slow.send(body.substr(at, 6400));
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  });
  EXPECT_TRUE(has(silent.message(), "HTTP/1.1 408 "));
  TestSocket server = w.servers[0].accept();
  const std::string got = server.up_to("\r\n\r\n");
  EXPECT_TRUE(server.bytes(body.size()) == body);
  asking.join();
  server.send(ok());
  EXPECT_TRUE(has(slow.message(), " 200 "));
}

}  // namespace
}  // namespace asterdrift::node::testing
