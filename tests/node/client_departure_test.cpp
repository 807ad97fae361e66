// Clients that disconnect before, while or after their requests are forwarded.
#include <chrono>
#include <string>
#include <utility>

#include "support/long_timeout_fixture.h"
#include "support/slow_accepting_server.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

TEST(ClientDeparture, RequestOfDepartedClientIsNotForwarded) {
  for (const bool may_cancel : {false, true}) {
    for (const Departure departure : kCloseAndReset) {
      const SlowAcceptingServer slow_server;
      LongTimeoutFixture fixture;
      fixture.config.may_cancel = may_cancel;
      TestSocket client = fixture.start_with_waiting_request(slow_server);
      depart(client, departure);
      wait_until([&] { return !connection_attempt_to(slow_server.port()); });
      EXPECT_EQ(fixture.metric("upstream_requests"), 0)
          << "may_cancel " << may_cancel << ", " << name_of(departure);
      EXPECT_EQ(fixture.metric("pending"), 0);
    }
  }
}

// Unread pipelined bytes must not hide the disconnection.
TEST(ClientDeparture, IsNoticedAfterPipelinedBytes) {
  for (const std::size_t pipelined_bytes : {std::size_t{100}, std::size_t{20000}, std::size_t{500000}}) {
    for (const Departure departure : kCloseAndReset) {
      const SlowAcceptingServer slow_server;
      LongTimeoutFixture fixture;
      fixture.config.may_cancel = false;
      TestSocket client = fixture.start_with_waiting_request(slow_server);
      client.send_available(std::string(pipelined_bytes, 'x'));
      depart(client, departure);
      wait_until([&] { return !connection_attempt_to(slow_server.port()); });
      EXPECT_EQ(fixture.metric("upstream_requests"), 0)
          << pipelined_bytes << " pipelined bytes, " << name_of(departure);
    }
  }
}

// A pipelined request is buffered and served. If pipelined bytes exceed the buffer, the connection is closed
// after the current response.
TEST(ClientDeparture, PipelinedRequestIsBufferedAndServed) {
  LongTimeoutFixture fixture;
  auto [client, server] = fixture.start_with_forwarded_request(request("close", "", "one"));
  const std::string large_body(60000, 'y');
  client.send(request("close", "", large_body, "r2"));
  server.send(ok_response("first"));
  EXPECT_TRUE(contains(client.read_message(), "\r\n\r\nfirst"));
  EXPECT_TRUE(server.read_message().ends_with("\r\n\r\n" + large_body));
  EXPECT_EQ(client.send_available(std::string(500000, 'x')), 500000U);
  wait_until([port = client.local_port()] { return all_read_from(port); });
  server.send(ok_response("second"));
  const std::string response = client.read_message();
  EXPECT_TRUE(contains(response, "Connection: close\r\n") && response.ends_with("second")) << response;
  EXPECT_TRUE(client.closed_by_peer());
  EXPECT_EQ(fixture.metric("upstream_requests"), 2);
}

// When the client disconnects, its request is unread, either on a connection in the system's accept queue or
// on one that the node has accepted.
TEST(ClientDeparture, RequestUnreadAtDepartureIsNotForwarded) {
  for (const bool is_accepted : {false, true}) {
    for (const std::size_t pipelined_bytes : {std::size_t{0}, std::size_t{40000}}) {
      LongTimeoutFixture fixture;
      fixture.start_with_one_server();
      TestSocket departing = fixture.connect_client(), staying = fixture.connect_client();
      if (is_accepted) {
        departing.send("GET /healthz HTTP/1.1\r\n\r\n");
        departing.read_message();
      }
      fixture.node->suspend();
      if (!is_accepted) departing = fixture.connect_client();
      departing.send(request_with_id("close", "left") + std::string(pipelined_bytes, 'x'));
      departing.close();
      staying.send(request_with_id("close", "there"));
      fixture.node->resume();
      TestSocket server = fixture.servers[0].accept();
      EXPECT_TRUE(contains(server.read_message(), "Request-Id: there\r\n"));
      server.send(ok_response());
      EXPECT_TRUE(contains(staying.read_message(), " 200 "));
      wait_until([&] { return fixture.metric("pending") == 0; });
      EXPECT_EQ(fixture.metric("upstream_requests"), 1)
          << "is_accepted " << is_accepted << ", " << pipelined_bytes << " pipelined bytes";
    }
  }
}

// Guards against an end of the connection that stays unseen behind more bytes than the receive buffer holds.
TEST(ClientDeparture, RequestBeforeMuchUnreadInputIsNotForwarded) {
  for (const bool is_accepted : {false, true}) {
    for (const std::size_t pipelined_bytes : {std::size_t{800000}, std::size_t{3500000}}) {
      LongTimeoutFixture fixture;
      fixture.start_with_one_server();
      TestSocket departing = fixture.connect_client(), staying = fixture.connect_client();
      if (is_accepted) {
        departing.send("GET /healthz HTTP/1.1\r\n\r\n");
        departing.read_message();
      }
      fixture.node->suspend();
      if (!is_accepted) departing = fixture.connect_client();
      departing.send_available(request_with_id("close", "left") + std::string(pipelined_bytes, 'x'));
      departing.close();
      staying.send(request_with_id("close", "there"));
      fixture.node->resume();
      TestSocket server = fixture.servers[0].accept();
      EXPECT_TRUE(contains(server.read_message(), "Request-Id: there\r\n"));
      server.send(ok_response());
      EXPECT_TRUE(contains(staying.read_message(), " 200 "));
      wait_until([&] { return fixture.metric("pending") == 0; });
      EXPECT_EQ(fixture.metric("upstream_requests"), 1)
          << "is_accepted " << is_accepted << ", " << pipelined_bytes << " pipelined bytes";
    }
  }
}

// Guards against a request that runs twice, since its client left and sent it again.
TEST(ClientDeparture, RequestIdOfDepartedClientDoesNotRunAgain) {
  for (const bool may_cancel : {false, true}) {
    for (const bool server_responds : {false, true}) {
      for (const Departure departure : kCloseAndReset) {
        LongTimeoutFixture fixture;
        fixture.config.may_cancel = may_cancel;
        auto [client, server] = fixture.start_with_forwarded_request(request_with_id("close", "once"));
        depart(client, departure);
        wait_until([&] { return fixture.metric("pending") == 0; });
        if (server_responds) server.send(ok_response());
        TestSocket again = fixture.connect_client();
        again.send(request_with_id("close", "once"));
        EXPECT_TRUE(contains(again.read_message(), "HTTP/1.1 409 "))
            << "may_cancel " << may_cancel << ", " << name_of(departure);
        EXPECT_EQ(fixture.metric("upstream_requests"), 1);
      }
    }
  }
}

// Guards against the same after a response that the client has not read.
TEST(ClientDeparture, RequestIdOfUnreadResponseDoesNotRunAgain) {
  LongTimeoutFixture fixture;
  auto [client, server] = fixture.start_with_forwarded_request(request_with_id("close", "once"));
  server.send(ok_response());
  wait_until([&] { return fixture.metric("pending") == 0; });
  client.close();  // with unread bytes, which resets the connection
  TestSocket again = fixture.connect_client();
  again.send(request_with_id("close", "once"));
  EXPECT_TRUE(contains(again.read_message(), "HTTP/1.1 409 "));
  EXPECT_EQ(fixture.metric("upstream_requests"), 1);
}

// A request that no server has begun, and one that may run any number of times, may come again.
TEST(ClientDeparture, RequestIdThatHasNotRunMayComeAgain) {
  LongTimeoutFixture fixture;
  auto [client, server] = fixture.start_with_forwarded_request(request_with_id("close", "rejected"));
  server.send(not_started_response_with_close());
  wait_until([&, &departed = client] { return !departed.is_idle() || !fixture.servers[0].is_idle(); });
  while (client.is_idle()) {
    TestSocket next = fixture.servers[0].accept();
    next.read_message();
    next.send(not_started_response_with_close());
    client.is_idle(100ms);
  }
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 503 "));
  client.close();
  TestSocket again = fixture.connect_client();
  TestSocket next = fixture.forward(again, request_with_id("close", "rejected"));
  next.send(ok_response());
  EXPECT_TRUE(contains(again.read_message(), " 200 "));
}

// The server reads nothing, which pauses the upload. The client's disconnection follows bytes of the upload
// that the node has not read.
TEST(ClientDeparture, UploadOfDepartedClientIsNotForwardedCompletely) {
  for (const bool may_cancel : {false, true}) {
    LongTimeoutFixture fixture;
    fixture.config.may_cancel = may_cancel;
    fixture.start_with_one_server();
    TestSocket client = fixture.connect_client();
    client.send(request_head("close") + "Transfer-Encoding: chunked\r\n\r\n");
    const std::size_t unsent = send_chunks_until_full(client);
    TestSocket server = fixture.servers[0].accept();
    std::string last_chunks = chunk(std::string(8000, 'u'));
    last_chunks = last_chunks.substr(last_chunks.size() - unsent) + "0\r\n\r\n";
    while (!last_chunks.empty()) {
      server.read_bytes(100000);
      last_chunks.erase(0, client.send_available(last_chunks));
    }
    fixture.node->suspend();
    client.close();
    fixture.node->resume();
    std::string received;
    for (std::string bytes; !(bytes = server.read_bytes(100000)).empty();) received += bytes;
    EXPECT_FALSE(received.ends_with("0\r\n\r\n")) << "may_cancel " << may_cancel;
    wait_until([&] { return fixture.metric("pending") == 0; });
    EXPECT_EQ(fixture.metric("upstream_requests"), 0);
  }
}

// The node notices that the client has disconnected although it reads nothing from the client's connection.
TEST(ClientDeparture, BlockedUploadOfDepartedClientFreesItsServer) {
  for (const Departure departure : kCloseAndReset) {
    const SlowAcceptingServer slow_server;
    LongTimeoutFixture fixture;
    fixture.config.may_cancel = false;
    // The node reads only a part of these bytes of the body. They are few enough that the end of the client's
    // connection still arrives after them.
    TestSocket client = fixture.start_with_waiting_request(
        slow_server, request_head("close") + "Content-Length: 1000000\r\n\r\n" + std::string(175000, 'u'));
    depart(client, departure);
    wait_until([&] { return !connection_attempt_to(slow_server.port()); });
    EXPECT_EQ(fixture.metric("upstream_requests"), 0) << name_of(departure);
  }
}

// A request that has been sent to a server completely is cancelled only if the configuration allows it.
TEST(ClientDeparture, ForwardedRequestIsCancelledOnlyIfAllowed) {
  for (const bool may_cancel : {false, true}) {
    LongTimeoutFixture fixture;
    fixture.config.may_cancel = may_cancel;
    auto [client, server] = fixture.start_with_forwarded_request();
    client.close();
    wait_until([&] { return fixture.metric("pending") == 0; });
    if (may_cancel) {
      EXPECT_TRUE(server.closed_by_peer());
      continue;
    }
    EXPECT_TRUE(server.is_idle());
    // The client of the next response has departed. The upstream connection can serve the next request.
    server.send(ok_response());
    TestSocket next_client = fixture.connect_client();
    next_client.send(request("close", "", "next", "r2"));
    TestSocket next_server = server.is_idle(200ms) ? fixture.servers[0].accept() : std::move(server);
    EXPECT_TRUE(contains(next_server.read_message(), "\r\n\r\nnext"));
    next_server.send(ok_response("own"));
    EXPECT_TRUE(contains(next_client.read_message(), "\r\n\r\nown"));
  }
}

}  // namespace
}  // namespace asterdrift::node::testing
