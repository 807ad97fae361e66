// The time that a request has left counts from when its last byte came, however long it has waited since.
#include <chrono>
#include <string>
#include <thread>

#include "support/long_timeout_fixture.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

constexpr auto kWait = 600ms;
constexpr double kTimeoutS = 2;
constexpr double kSlackS = 0.15;  // of the operators' rule

std::string request_with_timeout(const std::string& id, int timeout_ms) {
  return request("close", "Request-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n", "question", id);
}

// The seconds that the node passes on to a server.
double timeout_of(const std::string& forwarded) {
  const std::string field = "Request-Timeout-Ms: ";
  const std::size_t position = forwarded.find(field);
  return position == std::string::npos ? -1 : std::stod(forwarded.substr(position + field.size())) / 1000;
}

void expect_time_left(const std::string& forwarded, const Stopwatch& since_sent) {
  const double passed_on = timeout_of(forwarded);
  EXPECT_GT(passed_on, 0) << forwarded;
  EXPECT_LE(passed_on, kTimeoutS - since_sent.seconds() + kSlackS);
}

TEST(RequestTime, PipelinedRequestHasNoMoreTimeThanItsClient) {
  KeepAliveFixture fixture;
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client();
  const Stopwatch since_sent;
  TestSocket server =
      fixture.forward(client, request_with_timeout("r1", 2000) + request_with_timeout("r2", 2000));
  std::this_thread::sleep_for(kWait);
  server.send(ok_response());
  expect_time_left(server.read_message(), since_sent);
  server.send(ok_response("second"));
  client.read_message();
  EXPECT_TRUE(contains(client.read_message(), "second"));
}

TEST(RequestTime, RequestThatWaitedInTheSocketHasNoMoreTimeThanItsClient) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  fixture.node->suspend();
  const TestSocket client = fixture.connect_client();
  client.send(request_with_timeout("r1", 2000));
  const Stopwatch since_sent;
  std::this_thread::sleep_for(kWait);
  fixture.node->resume();
  TestSocket server = fixture.servers[0].accept();
  expect_time_left(server.read_message(), since_sent);
}

// The bytes of an upload that are sent last start its time.
TEST(RequestTime, UploadThatWaitedInTheSocketHasNoMoreTimeThanItsClient) {
  NodeFixture fixture;
  fixture.start_with_one_server();
  const std::string text = request("close", "Request-Timeout-Ms: 2000\r\n", repeated("upload", 20000), "r1");
  const std::size_t last_part = text.size() - 1000;
  fixture.node->suspend();
  const TestSocket client = fixture.connect_client();
  client.send(text.substr(0, last_part));
  client.send(text.substr(last_part));
  const Stopwatch since_sent;
  std::this_thread::sleep_for(kWait);
  fixture.node->resume();
  TestSocket server = fixture.servers[0].accept();
  expect_time_left(server.read_message(), since_sent);
}

TEST(RequestTime, RequestWhoseTimeIsOverIsRejectedAtOnce) {
  KeepAliveFixture fixture;
  fixture.start_with_one_server();
  fixture.node->suspend();
  TestSocket client = fixture.connect_client();
  client.send(request_with_timeout("r1", 200));
  std::this_thread::sleep_for(kWait);
  fixture.node->resume();
  const std::string response = client.read_message();
  EXPECT_TRUE(contains(response, " 503 ")) << response;
  EXPECT_TRUE(contains(response, "Retry-After: ")) << response;
  EXPECT_TRUE(fixture.servers[0].is_idle());
  fixture.expect_served(client);
}

}  // namespace
}  // namespace asterdrift::node::testing
