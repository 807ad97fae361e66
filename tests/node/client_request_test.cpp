// Requests of clients: deadlines, cancellation, pipelining, and rejection of invalid requests.
#include <string>
#include <utility>
#include <vector>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

TEST(ClientRequest, GetsErrorResponseBeforeItsTimeout) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client();
  const Stopwatch stopwatch;
  TestSocket server = fixture.forward(client, request("close", "Request-Timeout-Ms: 700\r\n"));
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 50"))
      << "the response is an error, not the end of the connection";
  EXPECT_LT(stopwatch.seconds(), 1.2) << "the timeout is 0.7 s; the rest allows for a busy machine";
  EXPECT_TRUE(server.closed_by_peer()) << "the attempt is cancelled";
  EXPECT_TRUE(client.is_idle()) << "one final response";
}

TEST(ClientRequest, IsCancelledWhenItsClientDisconnects) {
  NodeFixture fixture;
  auto [client, server] = fixture.start_with_forwarded_request();
  client.close();
  const Stopwatch stopwatch;
  EXPECT_TRUE(server.closed_by_peer());
  EXPECT_LT(stopwatch.seconds(), 1.9) << "the attempt ends long before its timeout";
}

TEST(ClientRequest, PipelinedRequestIsServedNext) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client();
  client.send(request("mark", "", "one"));
  TestSocket server = fixture.servers[0].accept();
  EXPECT_TRUE(contains(server.read_message(), "\r\n\r\none"));
  client.send(request("mark", "", "two"));
  server.send(ok_response("first"));
  EXPECT_TRUE(contains(server.read_message(), "\r\n\r\ntwo"));
  server.send(ok_response("second"));
  EXPECT_TRUE(contains(client.read_message(), "first"));
  EXPECT_TRUE(contains(client.read_message(), "second"));
}

// If two requests with one Request-Id were in flight, the request could run twice, or each client could get
// the response of the other.
TEST(ClientRequest, RequestIdThatIsInFlightIsRejected) {
  NodeFixture fixture;
  fixture.start_with_both_servers();
  TestSocket first_client = fixture.connect_client(), second_client = fixture.connect_client();
  first_client.send(request("mark"));
  TestSocket server = fixture.accept_at_either_server();
  server.read_message();
  second_client.send(request("close"));
  EXPECT_TRUE(contains(second_client.read_message(), "HTTP/1.1 409 "));
  EXPECT_TRUE(fixture.servers_are_idle());
  server.send(ok_response());
  EXPECT_TRUE(contains(first_client.read_message(), " 200 "));
  first_client.send(request("mark"));
  server.read_message();
  server.send(ok_response());
  EXPECT_TRUE(contains(first_client.read_message(), " 200 ")) << "the Request-Id is no longer in flight";
}

TEST(ClientRequest, InvalidRequestIsRejected) {
  NodeFixture fixture;
  fixture.start_with_both_servers();
  const std::string start = "POST /api HTTP/1.1\r\nRequest-Id: r\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"413", start + "Request-Class: close\r\nTenant: acme\r\nContent-Length: 41943041\r\n\r\n"},
      {"400", "nonsense\r\n\r\n"},
      {"400", "POST /api HTTP/1.1\r\nno colon\r\n\r\n"},
      {"431", "POST /api HTTP/1.1\r\nX: " + std::string(20000, 'x')},
      {"431", "POST /api HTTP/1.1\r\n" + repeated("X: y\r\n", 4000)},  // a head of many short lines
      {"431", "POST /api HTTP/1.1\r\n" + repeated("X: y\r\n", 101) + "\r\n"},
      {"431", "GET /other HTTP/1.1\r\n" + repeated("X: y\r\n", 101) + "\r\n"},
      {"404", "GET /other HTTP/1.1\r\n" + repeated("X: y\r\n", 100) + "\r\n"},
      {"404", "GET /apis HTTP/1.1\r\n\r\n"},
      {"400", request("other")},
      {"400", request("mark", "Request-Timeout-Ms: soon\r\n")},
      {"400", request("mark", "Request-Timeout-Ms: -5\r\n")},
      {"400", request("mark", "Request-Timeout-Ms: 0\r\n")},
      {"400", with_content_length(start + "Request-Class: close\r\nTenant: nobody\r\n", "")},
      {"400", with_content_length(start + "Request-Class: mark\r\nTenant: acme\r\n",
                                  "")},  // without an idempotency key
      {"400", "GET /api HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: close\r\nTenant: acme\r\n\r\n"},
      {"400", with_content_length("POST /api HTTP/1.1\r\nRequest-Class: close\r\nTenant: acme\r\n", "")},
      {"400", request("close", "Idempotency-Key: k\r\n")},
      {"400", request("close", "Request-Id: r2\r\n")},
      {"400", request("close", "Tenant: acme\r\n")},
      {"400", request("close", "X-Folded: a\r\n b\r\n")},
      {"400", "GET /api HTTP/1.1\r\n folded\r\n\r\n"},
      // The end of these messages is ambiguous, so that a second request could be smuggled inside the first.
      {"400", request_head("close") + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"400", request_head("close") + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"},
      {"400", request_head("close") + "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nabcde"},
      {"400", request_head("close") + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
      {"400", request_head("close") + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
      {"400", request_head("close") + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde"},
      {"400", request_head("close") + "Content-Length: 5, 5\r\n\r\nabcde"},
      {"400", request_head("close") + "Content-Length: -5\r\n\r\nabcde"},
      {"400", request_head("close") + "Content-Length: +5\r\n\r\nabcde"},
      {"400", request_head("close") + "Content-Length: 0x5\r\n\r\nabcde"},
      {"400", request_head("close") + "Content-Length: 99999999999999999999\r\n\r\n"},
      {"400", request_head("close") + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
      {"413", request_head("close") + "Transfer-Encoding: chunked\r\n\r\n2800001\r\n"},
      {"431", request_head("close") + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(20000, 'x')},
  };
  // A valid request follows each of these texts except the one with status 404, and must not be forwarded.
  for (const auto& [status, text] : cases) {
    TestSocket client = fixture.connect_client();
    client.send(text + (status == "404" ? "" : request("close", "", "hidden", "r9")));
    EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 " + status)) << text.substr(0, 300);
    if (status != "404") {
      EXPECT_TRUE(client.closed_by_peer()) << text.substr(0, 300);
    }
  }
  EXPECT_TRUE(fixture.servers_are_idle());
  EXPECT_TRUE(contains(fixture.health_response(), " 200 "));
}

}  // namespace
}  // namespace asterdrift::node::testing
