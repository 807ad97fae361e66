// Streamed bodies of requests and responses: large, slow, chunked and truncated ones.
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <limits>
#include <string>
#include <thread>
#include <vector>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMebibyte = 1024UL * 1024;

// Returns a pseudo-random body, in which lost, duplicated and moved parts are detected.
std::string make_body(std::size_t size) {
  std::string body(size, '\0');
  std::uint32_t state = 12345;
  for (char& byte : body) {
    state = state * 1664525 + 1013904223;
    byte = static_cast<char>(state >> 24);
  }
  return body;
}

struct ChunkedBody {
  std::string data;
  bool is_complete = false;  // whether the last chunk has been received
};

ChunkedBody read_chunked_body(TestSocket& connection) {
  ChunkedBody body;
  while (true) {
    const std::string size_line = connection.read_until("\r\n");
    if (!size_line.ends_with("\r\n")) return body;
    const std::size_t size = std::stoul(size_line, nullptr, 16);
    if (size == 0) {
      body.is_complete = connection.read_until("\r\n") == "\r\n";
      return body;
    }
    const std::string data = connection.read_bytes(size + 2);
    body.data += data.substr(0, size);
    if (data.size() < size + 2) return body;
  }
}

// The Content-Length field and the empty line that ends a head.
std::string length_and_end_of_head(std::size_t size) {
  return "Content-Length: " + std::to_string(size) + "\r\n\r\n";
}

// A node with one server and an admin server.
struct StreamingFixture : NodeFixture {
  StreamingFixture() {
    enable_admin_server();
    start_with_one_server();
  }
  // Accepts the server's next connection, and reads the head of the request on it.
  TestSocket accept_request_head() const {
    TestSocket server = servers[0].accept();
    server.read_until("\r\n\r\n");
    return server;
  }
};

#ifndef __SANITIZE_ADDRESS__
constexpr long kMaxPeakMemoryKb = 16L * 1024;
#else
// No limit, since the sanitizers use additional memory.
constexpr long kMaxPeakMemoryKb = std::numeric_limits<long>::max();
#endif

TEST(Streaming, LargeResponsesUseBoundedMemory) {
  StreamingFixture fixture;
  const std::string body = make_body(32 * kMebibyte);
  TestSocket client = fixture.connect_client();
  TestSocket server = fixture.forward(client);
  server.send("HTTP/1.1 200 OK\r\n" + length_and_end_of_head(body.size()));
  const std::size_t sent = server.send_available(body);
  EXPECT_LT(sent, 24 * kMebibyte) << "a client that reads nothing blocks its server";
  std::thread sender([&] { server.send(body.substr(sent)); });
  const std::string head = client.read_until("\r\n\r\n");
  EXPECT_TRUE(contains(head, "HTTP/1.1 200 OK\r\n") && contains(head, "Content-Length: 33554432\r\n"))
      << head;
  EXPECT_TRUE(client.read_bytes(body.size()) == body);
  sender.join();
  EXPECT_LT(fixture.node->peak_memory_kb(), kMaxPeakMemoryKb);
  wait_until([&] { return fixture.metric("downstream_requests.close.completed") == 1; });
  EXPECT_EQ(fixture.metric("pending"), 0);
  client.send(request_with_id("close", "r2"));
  EXPECT_TRUE(contains(server.read_message(), "question")) << "both connections can be reused";
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
}

TEST(Streaming, BodiesOfAnyFramingAreForwardedUnchanged) {
  const std::string body = make_body(300000);
  std::string chunked;
  for (std::size_t position = 0, size = 1; position < body.size();
       position += size, size = size % 50000 * 3 + 1) {
    std::string next = chunk(body.substr(position, size));
    chunked += next.insert(next.find("\r\n"), ";name=value");
  }
  const std::string status_line = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> responses = {
      status_line + "Transfer-Encoding: chunked\r\n\r\n" + chunked + "0\r\nTrailer: x\r\n\r\n",
      status_line + "Connection: close\r\n\r\n" + body,
      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + status_line + length_and_end_of_head(body.size()) +
          body,
  };
  for (const std::string& response : responses) {
    for (const std::size_t piece : {std::size_t{1000000}, std::size_t{777}}) {
      StreamingFixture fixture;
      TestSocket client = fixture.connect_client();
      TestSocket server = fixture.forward(client);
      std::thread sender([&] {
        for (std::size_t position = 0; position < response.size(); position += piece) {
          server.send(response.substr(position, piece));
        }
        if (contains(response.substr(0, 100), "Connection: close")) server.close();
      });
      const std::string head = client.read_until("\r\n\r\n");
      EXPECT_TRUE(contains(head, "HTTP/1.1 200 OK\r\n")) << head;
      const ChunkedBody received = contains(head, "chunked")
                                       ? read_chunked_body(client)
                                       : ChunkedBody{client.read_bytes(body.size()), true};
      EXPECT_TRUE(received.is_complete && received.data == body) << response.substr(0, 80);
      sender.join();
    }
  }
}

TEST(Streaming, SmallResponseEndedByConnectionCloseIsComplete) {
  StreamingFixture fixture;
  TestSocket client = fixture.connect_client();
  TestSocket server = fixture.forward(client);
  server.send("HTTP/1.1 200 OK\r\n\r\nno length");
  server.close();
  EXPECT_TRUE(contains(client.read_message(), "Content-Length: 9\r\n\r\nno length"));
}

// HTTP/1.0 clients do not understand chunks, so a body of unknown length ends with its connection.
TEST(Streaming, Http10ClientsGetNoChunks) {
  StreamingFixture fixture;
  const std::string body = make_body(200000);
  TestSocket client = fixture.connect_client();
  std::string old_request = request("close");
  client.send(old_request.replace(old_request.find("HTTP/1.1"), 8, "HTTP/1.0"));
  TestSocket server = fixture.servers[0].accept();
  server.read_message();
  server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n");
  EXPECT_FALSE(contains(client.read_until("\r\n\r\n"), "chunked"));
  EXPECT_TRUE(client.read_bytes(body.size()) == body);
  EXPECT_TRUE(client.closed_by_peer());
}

TEST(Streaming, FirstBytesAreForwardedAtOnce) {
  for (const bool length_known : {true, false}) {
    StreamingFixture fixture;
    TestSocket client = fixture.connect_client();
    TestSocket server = fixture.forward(client);
    server.send(length_known ? "HTTP/1.1 200 OK\r\n" + length_and_end_of_head(1000000) + "begins"
                             : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("begins"));
    EXPECT_TRUE(contains(client.read_until("begins"), "begins"))
        << "the first bytes arrive before the rest of the body";
    EXPECT_EQ(fixture.metric("pending"), 1);
    client.close();
    EXPECT_TRUE(server.closed_by_peer())
        << "the node closes the connection to the server after its client has departed";
    wait_until([&] { return fixture.metric("pending") == 0; });
    EXPECT_EQ(fixture.metric("downstream_requests.close.completed"), 0);
  }
}

TEST(Streaming, TruncatedResponseIsNotForwardedAsComplete) {
  for (const std::string& head :
       {length_and_end_of_head(1000000), std::string("Transfer-Encoding: chunked\r\n\r\n")}) {
    StreamingFixture fixture;
    const std::string first_part = make_body(100000);
    TestSocket client = fixture.connect_client();
    TestSocket server = fixture.forward(client);
    const bool is_chunked = contains(head, "chunked");
    server.send("HTTP/1.1 200 OK\r\n" + head + (is_chunked ? chunk(first_part) : first_part));
    client.read_until("\r\n\r\n");
    server.close();
    if (is_chunked) {
      const ChunkedBody received = read_chunked_body(client);
      EXPECT_TRUE(received.data == first_part);
      EXPECT_FALSE(received.is_complete);
    } else {
      EXPECT_TRUE(client.read_bytes(1000000) == first_part);
    }
    EXPECT_TRUE(client.closed_by_peer());
    wait_until([&] { return fixture.metric("downstream_requests.close.failed") == 1; });
    EXPECT_TRUE(fixture.servers[0].is_idle()) << "a response that has begun is not retried";
  }
}

TEST(Streaming, LargeRequestsUseBoundedMemory) {
  for (const bool is_chunked : {false, true}) {
    StreamingFixture fixture;
    const std::string body = make_body(32 * kMebibyte);
    TestSocket client = fixture.connect_client();
    client.send(request_head("close") + "Expect: 100-continue\r\n" +
                (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : length_and_end_of_head(body.size())));
    EXPECT_TRUE(contains(client.read_until("\r\n\r\n"), "HTTP/1.1 100 Continue"));
    std::string upload = body;
    if (is_chunked) {
      upload.clear();
      for (std::size_t position = 0; position < body.size(); position += 100000) {
        upload += chunk(body.substr(position, 100000));
      }
      upload += "0\r\nTrailer: x\r\n\r\n";
    }
    const std::size_t sent = client.send_available(upload);
    EXPECT_LT(sent, 24 * kMebibyte) << "a server that reads nothing blocks its client";
    std::thread sender([&] { client.send(upload.substr(sent) + request("close", "", "next", "r2")); });
    TestSocket server = fixture.servers[0].accept();
    const std::string head = server.read_until("\r\n\r\n");
    EXPECT_EQ(contains(head, "Transfer-Encoding: chunked\r\n"), is_chunked) << head;
    const ChunkedBody received =
        is_chunked ? read_chunked_body(server) : ChunkedBody{server.read_bytes(body.size()), true};
    EXPECT_TRUE(received.data == body);
    EXPECT_TRUE(received.is_complete);
    sender.join();
    EXPECT_EQ(fixture.metric("upstream_requests"), 1);
    server.send(ok_response("first"));
    EXPECT_TRUE(contains(client.read_message(), "\r\n\r\nfirst"));
    EXPECT_TRUE(contains(server.read_message(), "\r\n\r\nnext"));
    server.send(ok_response("second"));
    EXPECT_TRUE(contains(client.read_message(), "\r\n\r\nsecond"));
    EXPECT_LT(fixture.node->peak_memory_kb(), kMaxPeakMemoryKb);
  }
}

// A retry has to send all bytes of the body again. The node keeps only the first 64 KiB for that, so a
// request is not retried after more of its body has been sent.
TEST(Streaming, OnlyBufferedRequestsAreRetried) {
  const std::string body = make_body(32 * kMebibyte), first_part = body.substr(0, 66000);
  {
    NodeFixture fixture;
    fixture.servers[0].stop_listening();
    fixture.start_with_both_servers();
    TestSocket client, server;
    for (int i = 0; i < 6; ++i) {  // some of the requests are first sent to the unreachable server
      client = fixture.connect_client();
      client.send(request_head("close", "r" + std::to_string(i)) + length_and_end_of_head(first_part.size()) +
                  first_part);
      if (i == 0) server = fixture.servers[1].accept();
      server.read_until("\r\n\r\n");
      EXPECT_TRUE(server.read_bytes(first_part.size()) == first_part);
      server.send(ok_response());
      EXPECT_TRUE(contains(client.read_message(), " 200 "));
    }
  }
  NodeFixture fixture;
  fixture.start_with_both_servers();
  TestSocket client = fixture.connect_client();
  std::thread sender(
      [&] { client.send_available(request_head("mark") + length_and_end_of_head(body.size()) + body); });
  TestSocket server = fixture.accept_at_either_server();
  server.read_until("\r\n\r\n");
  server.read_bytes(kMebibyte);
  server.reset();
  sender.join();
  const std::string response = client.read_message();
  EXPECT_TRUE(contains(response, "HTTP/1.1 503 ")) << "no server has begun the request: " << response;
  EXPECT_TRUE(fixture.servers_are_idle());
}

TEST(Streaming, IncompleteUploadOfDepartedClientIsNotCounted) {
  StreamingFixture fixture;
  TestSocket client = fixture.connect_client();
  client.send(request_head("close") + length_and_end_of_head(kMebibyte) + make_body(100000));
  TestSocket server = fixture.accept_request_head();
  server.read_bytes(100000);
  EXPECT_EQ(fixture.metric("pending"), 1);
  client.close();
  EXPECT_TRUE(server.closed_by_peer());
  wait_until([&] { return fixture.metric("pending") == 0; });
  EXPECT_EQ(fixture.metric("upstream_requests"), 0) << "no request was forwarded completely";
}

TEST(Streaming, ServerMayRespondBeforeEndOfRequest) {
  StreamingFixture fixture;
  TestSocket client = fixture.connect_client();
  client.send(request_head("close") + length_and_end_of_head(kMebibyte) + make_body(100000));
  TestSocket server = fixture.accept_request_head();
  server.send(with_content_length("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\n", ""));
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 503 "));
  EXPECT_LT(server.read_bytes(kMebibyte).size(), kMebibyte)
      << "the connection cannot be reused, and its upload ends";
}

// A body may turn out to be malformed after its first bytes have been forwarded. The server must not receive
// a complete request.
TEST(Streaming, RequestWithMalformedBodyIsNotForwardedCompletely) {
  StreamingFixture fixture;
  TestSocket client = fixture.connect_client();
  client.send(request_head("close") + "Transfer-Encoding: chunked\r\n\r\n" + chunk(make_body(100000)));
  TestSocket server = fixture.accept_request_head();
  client.send("zz\r\n");
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 400 "));
  EXPECT_TRUE(client.closed_by_peer());
  EXPECT_FALSE(read_chunked_body(server).is_complete);
}

TEST(Streaming, BodiesOfRejectedRequestsAreNotBuffered) {
  StreamingFixture fixture;
  std::vector<TestSocket> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(fixture.connect_client());
    std::thread sender([&] {
      clients.back().send("POST /nowhere HTTP/1.1\r\n" + length_and_end_of_head(8 * kMebibyte) +
                          std::string(8 * kMebibyte, 'x'));
    });
    EXPECT_TRUE(contains(clients.back().read_message(), "HTTP/1.1 404 "));
    sender.join();
  }
  EXPECT_LT(fixture.node->peak_memory_kb(), kMaxPeakMemoryKb);
}

// A response that is still being forwarded at the end of the drain is not truncated: the process does not
// exit before the response is complete.
TEST(Streaming, LargeResponseIsNotTruncatedByDrain) {
  StreamingFixture fixture;
  TestSocket client = fixture.connect_client(), uploading = fixture.connect_client();
  TestSocket server = fixture.forward(client);
  server.send("HTTP/1.1 200 OK\r\n" + length_and_end_of_head(1000000) + "begins");
  client.read_until("begins");
  fixture.node->signal(SIGTERM);
  fixture.node->read_log_until("draining");
  const Stopwatch stopwatch;
  std::string unsent = request_head("close", "r2") + length_and_end_of_head(400000) + make_body(200000);
  // The upload is slow enough to last until the end of the drain, and fast enough not to time out earlier.
  wait_until([&] {
    const std::size_t piece = std::min<std::size_t>(unsent.size(), 6000);
    if (piece > 0) uploading.send(unsent.substr(0, piece));
    unsent.erase(0, piece);
    return !uploading.is_idle(100ms);
  });
  EXPECT_TRUE(contains(uploading.read_message(), "HTTP/1.1 503 "))
      << "no server has begun the upload, so it is rejected";
  EXPECT_GT(stopwatch.seconds(), 3);
  EXPECT_TRUE(uploading.closed_by_peer());
  EXPECT_TRUE(client.is_idle(300ms));
  server.send(std::string(1000000 - 6, 'x'));
  EXPECT_EQ(client.read_bytes(1000000 - 6).size(), 1000000U - 6);
  EXPECT_EQ(fixture.node->wait_for_exit(), 0);
}

// Guards against long responses that are cut off while their server hangs and goes on later.
TEST(Streaming, ResponseOfServerThatHangsForNineteenSecondsIsNotTruncated) {
  StreamingFixture fixture;
  TestSocket client = fixture.connect_client();
  TestSocket server = fixture.forward(client);
  const std::string body = make_body(300000);
  server.send("HTTP/1.1 200 OK\r\n" + length_and_end_of_head(body.size()) + body.substr(0, 150000));
  client.read_until("\r\n\r\n");
  EXPECT_TRUE(client.read_bytes(150000) == body.substr(0, 150000));
  EXPECT_TRUE(client.is_idle(19200ms));
  server.send(body.substr(150000));
  EXPECT_TRUE(client.read_bytes(150000) == body.substr(150000));
}

TEST(Streaming, SlowUploadIsServedAndStalledUploadTimesOut) {
  StreamingFixture fixture;
  TestSocket slow = fixture.connect_client(), stalled = fixture.connect_client();
  const std::string body = make_body(200000),
                    head = request_head("close") + length_and_end_of_head(body.size());
  stalled.send(request_head("close", "r2") + length_and_end_of_head(body.size()) + body.substr(0, 1000));
  std::thread sender([&] {
    for (std::size_t position = 0; position < head.size(); position += 20) {
      slow.send(head.substr(position, 20));
      std::this_thread::sleep_for(100ms);
    }
    for (std::size_t position = 0; position < body.size(); position += 6400) {  // 64 kB/s
      slow.send(body.substr(position, 6400));
      std::this_thread::sleep_for(100ms);
    }
  });
  EXPECT_TRUE(contains(stalled.read_message(), "HTTP/1.1 408 "));
  TestSocket server = fixture.accept_request_head();
  EXPECT_TRUE(server.read_bytes(body.size()) == body);
  sender.join();
  server.send(ok_response());
  EXPECT_TRUE(contains(slow.read_message(), " 200 "));
}

}  // namespace
}  // namespace asterdrift::node::testing
