// Valid and invalid responses of servers.
#include <string>
#include <vector>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

// An invalid response on a connection that its server keeps open ends the attempt at once, and the node
// closes the connection. Otherwise the request would wait for its timeout.
TEST(UpstreamResponse, InvalidResponseEndsAttemptAtOnce) {
  const std::string status_line = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> responses = {
      status_line + "Content-Length: 3000000000\r\n\r\n" + std::string(1000, 'x'),
      status_line + "Content-Length: -1\r\n\r\nx",
      status_line + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
      status_line + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      status_line + "Transfer-Encoding: identity\r\nContent-Length: 1\r\n\r\nx",
      status_line + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
      status_line + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(40000, 'x'),
      status_line + "X: " + std::string(40000, 'x'),
      status_line + repeated("X: y\r\n", 8000),
      status_line + "\x01\x02\r\n\r\n",
      repeated("HTTP/1.1 103 Early\r\n\r\n", 50) + ok_response(),
  };
  for (const std::string& response : responses) {
    NodeFixture fixture;
    fixture.start_with_one_server();
    TestSocket client = fixture.connect_client();
    const Stopwatch stopwatch;
    TestSocket server = fixture.forward(client);
    server.send(response);
    EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 502 ")) << response.substr(0, 90);
    EXPECT_LT(stopwatch.seconds(), 3)
        << "the attempt ends long before its timeout: " << response.substr(0, 90);
    EXPECT_TRUE(server.closed_by_peer()) << response.substr(0, 90);
  }
}

TEST(UpstreamResponse, ConnectionIsClosedAfterResponseWithTrailingBytes) {
  for (const bool in_one_send : {true, false}) {
    NodeFixture fixture;
    auto [client, server] = fixture.start_with_forwarded_request(request("close", "", "one"));
    server.send(ok_response("first") + (in_one_send ? ok_response("second") : ""));
    EXPECT_TRUE(contains(client.read_message(), "\r\n\r\nfirst"));
    if (!in_one_send) server.send(ok_response("second"));
    EXPECT_TRUE(server.closed_by_peer());
    client.send(request("close", "", "two"));
    TestSocket new_server = fixture.servers[0].accept();
    EXPECT_TRUE(contains(new_server.read_message(), "\r\n\r\ntwo"));
    new_server.send(ok_response("own"));
    EXPECT_TRUE(contains(client.read_message(), "\r\n\r\nown"));
  }
}

// Servers send bodies that are several times as large as the 64 KiB that the operators' protocol names.
TEST(UpstreamResponse, LargeResponsesAreForwardedCompletely) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client(), server;
  for (int i = 0; i < 3; ++i) {
    client.send(request("close"));
    if (i == 0) server = fixture.servers[0].accept();
    server.read_message();
    const std::string body(400UL * 1024, static_cast<char>('a' + i));
    server.send(ok_response(body));
    EXPECT_TRUE(client.read_message().ends_with("\r\n\r\n" + body))
        << "response " << i << " on the same connections";
  }
}

TEST(UpstreamResponse, InterimResponsesAreSkipped) {
  NodeFixture fixture;
  auto [client, server] = fixture.start_with_forwarded_request();
  server.send("HTTP/1.1 100 Continue\r\n\r\n" + ok_response("final"));
  EXPECT_TRUE(contains(client.read_message(), "\r\n\r\nfinal"));
}

}  // namespace
}  // namespace asterdrift::node::testing
