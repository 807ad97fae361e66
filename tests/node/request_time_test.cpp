// A request's timeout counts from the arrival of its last byte, even if the node reads the request later.
#include <chrono>
#include <string>
#include <thread>

#include "support/long_timeout_fixture.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

// How long a request has already waited, unread or pipelined, when the node handles it.
constexpr auto kDelay = 600ms;
constexpr double kTimeoutS = 2;
// The operators' rule for timeouts allows a forwarded timeout to exceed the remaining time by this much.
constexpr double kToleranceS = 0.15;

std::string request_with_timeout(const std::string& id, int timeout_ms) {
  return request("close", "Request-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n", "question", id);
}

// The timeout of a forwarded request in seconds, as the server receives it; -1 if there is none.
double parse_forwarded_timeout(const std::string& forwarded) {
  const std::string field = "Request-Timeout-Ms: ";
  const std::size_t position = forwarded.find(field);
  return position == std::string::npos ? -1 : std::stod(forwarded.substr(position + field.size())) / 1000;
}

// Expects that the forwarded timeout is at most the time for which the client still waits.
void expect_timeout_is_time_left(const std::string& forwarded, const Stopwatch& since_sent) {
  const double forwarded_timeout_s = parse_forwarded_timeout(forwarded);
  EXPECT_GT(forwarded_timeout_s, 0) << forwarded;
  EXPECT_LE(forwarded_timeout_s, kTimeoutS - since_sent.seconds() + kToleranceS);
}

TEST(RequestTime, TimeoutOfPipelinedRequestCountsFromItsArrival) {
  KeepAliveFixture fixture;
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client();
  const Stopwatch since_sent;
  TestSocket server =
      fixture.forward(client, request_with_timeout("r1", 2000) + request_with_timeout("r2", 2000));
  std::this_thread::sleep_for(kDelay);
  server.send(ok_response());
  expect_timeout_is_time_left(server.read_message(), since_sent);
  server.send(ok_response("second"));
  client.read_message();
  EXPECT_TRUE(contains(client.read_message(), "second"));
}

TEST(RequestTime, TimeoutOfUnreadRequestCountsFromItsArrival) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  fixture.node->suspend();
  const TestSocket client = fixture.connect_client();
  client.send(request_with_timeout("r1", 2000));
  const Stopwatch since_sent;
  std::this_thread::sleep_for(kDelay);
  fixture.node->resume();
  TestSocket server = fixture.servers[0].accept();
  expect_timeout_is_time_left(server.read_message(), since_sent);
}

// The timeout of an upload counts from the arrival of its last bytes.
TEST(RequestTime, TimeoutOfUnreadUploadCountsFromItsArrival) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  const std::string text = request("close", "Request-Timeout-Ms: 2000\r\n", repeated("upload", 20000), "r1");
  const std::size_t last_part = text.size() - 1000;
  fixture.node->suspend();
  const TestSocket client = fixture.connect_client();
  client.send(text.substr(0, last_part));
  client.send(text.substr(last_part));
  const Stopwatch since_sent;
  std::this_thread::sleep_for(kDelay);
  fixture.node->resume();
  TestSocket server = fixture.servers[0].accept();
  expect_timeout_is_time_left(server.read_message(), since_sent);
}

TEST(RequestTime, ExpiredRequestIsRejectedAtOnce) {
  KeepAliveFixture fixture;
  fixture.start_with_one_server();
  fixture.node->suspend();
  TestSocket client = fixture.connect_client();
  client.send(request_with_timeout("r1", 200));
  std::this_thread::sleep_for(kDelay);
  fixture.node->resume();
  const std::string response = client.read_message();
  EXPECT_TRUE(contains(response, " 503 ")) << response;
  EXPECT_TRUE(contains(response, "Retry-After: ")) << response;
  EXPECT_TRUE(fixture.servers[0].is_idle());
  fixture.expect_served(client);
}

}  // namespace
}  // namespace asterdrift::node::testing
