// Requests are forwarded unchanged, and retried only if no server has run them.
#include <string>
#include <vector>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

TEST(Forwarding, RequestsAreUnchangedAndConnectionsReused) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client();
  client.send(request("mark", "Request-Timeout-Ms: 900\r\nCookie: user=u\r\nConnection: keep-alive\r\n"));
  TestSocket server = fixture.servers[0].accept();
  const std::string forwarded = server.read_message();
  EXPECT_EQ(forwarded.rfind("POST /api?x=1 HTTP/1.1\r\n", 0), 0U) << forwarded;
  for (const char* part :
       {"Request-Id: r1\r\n", "Idempotency-Key: k1\r\n", "Cookie: user=u\r\n", "\r\n\r\nquestion"}) {
    EXPECT_TRUE(contains(forwarded, part)) << forwarded;
  }
  EXPECT_FALSE(contains(forwarded, "Connection:")) << forwarded;
  const std::string timeout_field = "Request-Timeout-Ms: ";
  const int timeout_ms = std::stoi(forwarded.substr(forwarded.find(timeout_field) + timeout_field.size()));
  EXPECT_LT(timeout_ms, 900);
  EXPECT_GT(timeout_ms, 400);
  server.send(ok_response("the answer"));
  EXPECT_TRUE(contains(client.read_message(), "\r\n\r\nthe answer"));
  client.send(request("close"));
  EXPECT_TRUE(contains(server.read_message(), "question")) << "the upstream connection is reused";
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
  EXPECT_TRUE(fixture.servers[0].is_idle());
}

TEST(Forwarding, UnsentRequestIsRetriedAtAnotherServer) {
  NodeFixture fixture;
  fixture.servers[0].stop_listening();
  fixture.start_with_both_servers();
  TestSocket client = fixture.connect_client(), server;
  for (int i = 0; i < 6; ++i) {
    client.send(request("close"));
    if (i == 0) server = fixture.servers[1].accept();
    ASSERT_TRUE(contains(server.read_message(), "question"));
    server.send(ok_response());
    EXPECT_TRUE(contains(client.read_message(), " 200 "));
  }
}

TEST(Forwarding, RequestThatTheServerHasNotStartedIsRetried) {
  NodeFixture fixture;
  auto [client, first_server] = fixture.start_with_request_to_either();
  first_server.send(not_started_response_with_close());
  TestSocket second_server = fixture.accept_at_either_server();
  EXPECT_TRUE(contains(second_server.read_message(), "Request-Id: r1"));
  second_server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
}

// After each of these responses the request may have run. An unsafe request is then neither retried nor
// rejected.
TEST(Forwarding, UnsafeRequestThatMayHaveRunFails) {
  const std::vector<std::string> responses = {
      "",                                               // the connection ends without a response
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx",  // truncated
      "SSH-2.0 nonsense\r\n\r\n",
      with_content_length("HTTP/1.1 500 Error\r\n", ""),
      with_content_length("HTTP/1.1 503 Busy\r\n", ""),
      with_content_length("HTTP/1.1 500 Error\r\nNot-Started: 1\r\n", ""),
      with_content_length("HTTP/1.1 302 Found\r\n", ""),
  };
  for (const std::string& response : responses) {
    NodeFixture fixture;
    auto [client, server] = fixture.start_with_request_to_either();
    server.send(response);
    server.close();
    const std::string final_response = client.read_message();
    EXPECT_TRUE(contains(final_response, "HTTP/1.1 502 "))
        << final_response.substr(0, 60) << " after " << response.substr(0, 60);
    EXPECT_TRUE(fixture.servers_are_idle()) << response.substr(0, 60);
  }
}

TEST(Forwarding, ResetAfterTheLastByteIsNotRetried) {
  NodeFixture fixture;
  auto [client, server] = fixture.start_with_request_to_either();
  server.reset();
  EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 502 "));
  EXPECT_TRUE(fixture.servers_are_idle());
}

}  // namespace
}  // namespace asterdrift::node::testing
