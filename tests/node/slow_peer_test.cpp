// Peers that read slowly, but never stand still. Their systems have large receive buffers, and take nothing
// for seconds at a time while the peers read.
#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMegabyte = 1000UL * 1000;
// The receive window opens after some 0.5 MB has been read, which takes 8 s at kSlowBytesPerSecond.
constexpr int kLargeReceiveBuffer = 4 * 1000 * 1000;
constexpr std::size_t kSlowBytesPerSecond = 64000;
constexpr auto kSlowTime = 16s;
// The longest time for which a client whose receive window was never large may take no byte.
constexpr Seconds kWriteTimeout = 5;

// Reads at kSlowBytesPerSecond for kSlowTime. Returns how many bytes have been read.
std::size_t read_slowly(TestSocket& socket) {
  constexpr auto kReadInterval = 100ms;
  constexpr std::size_t kReadBytes = kSlowBytesPerSecond * kReadInterval / 1s;
  const auto end = std::chrono::steady_clock::now() + kSlowTime;
  std::size_t received = 0;
  while (std::chrono::steady_clock::now() < end) {
    const std::size_t count = socket.read_bytes(kReadBytes).size();
    if (count == 0) break;
    received += count;
    std::this_thread::sleep_for(kReadInterval);
  }
  return received;
}

std::string response_head(std::size_t size) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

// Guards against responses that are cut off while their clients read them, since the client's system takes
// nothing until a part of its receive buffer is free.
TEST(SlowPeer, ResponseIsNotCutOffWhileItsClientReads) {
  constexpr std::size_t kSize = 16 * kMegabyte;
  NodeFixture fixture;
  fixture.enable_admin_server();
  fixture.start_with_one_server();
  TestSocket client = TestSocket::connect_to(fixture.node->port(), kLargeReceiveBuffer);
  const TestSocket server = fixture.forward(client);
  std::thread sender([&] { server.send(response_head(kSize) + std::string(kSize, 'r')); });
  EXPECT_TRUE(contains(client.read_until("\r\n\r\n"), " 200 "));
  const std::size_t received = read_slowly(client);
  EXPECT_EQ(received + client.read_bytes(kSize - received).size(), kSize);
  EXPECT_EQ(fixture.metric("downstream_responses_stalled"), 0);
  client.close();
  sender.join();
}

// Guards against clients that stop reading and occupy their connections.
TEST(SlowPeer, ResponseIsCutOffInTimeIfItsClientStopsReading) {
  constexpr std::size_t kSize = 16 * kMegabyte;
  NodeFixture fixture;
  fixture.enable_admin_server();
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client();
  const TestSocket server = fixture.forward(client);
  const Stopwatch stopwatch;
  server.send(response_head(kSize) + std::string(kSize, 'r'));  // returns when the connection is closed
  EXPECT_GT(stopwatch.seconds(), kWriteTimeout - 0.5);
  EXPECT_LT(stopwatch.seconds(), kWriteTimeout + 1.5);
  EXPECT_EQ(fixture.metric("downstream_responses_stalled"), 1);
  EXPECT_LT(client.read_bytes(kSize).size(), kSize);
}

// Guards against uploads that are given up while their servers read them and their clients send them, since
// the server's system takes nothing until a part of its receive buffer is free.
TEST(SlowPeer, UploadIsNotGivenUpWhileItsServerReads) {
  constexpr std::size_t kSize = 20 * kMegabyte;
  constexpr std::size_t kSentAtOnce = 13 * kMegabyte;
  constexpr std::size_t kPieceBytes = 12800;  // a piece each 0.1 s
  NodeFixture fixture;
  fixture.config.request_timeout = 3;
  fixture.servers[0].limit_receive_buffer(kLargeReceiveBuffer);
  fixture.start_with_one_server();
  TestSocket client = fixture.connect_client();
  std::atomic<bool> may_finish = false;
  std::thread sender([&] {
    client.send(request_head("close") + "Content-Length: " + std::to_string(kSize) + "\r\n\r\n" +
                std::string(kSentAtOnce, 'u'));
    std::size_t sent = kSentAtOnce;
    for (; !may_finish; sent += kPieceBytes) {
      client.send(std::string(kPieceBytes, 'u'));
      std::this_thread::sleep_for(100ms);
    }
    client.send(std::string(kSize - sent, 'u'));
  });
  TestSocket server = fixture.servers[0].accept();
  server.read_until("\r\n\r\n");
  const std::size_t received = read_slowly(server);
  may_finish = true;
  EXPECT_EQ(received + server.read_bytes(kSize - received).size(), kSize);
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_message(), " 200 "));
  sender.join();
}

}  // namespace
}  // namespace asterdrift::node::testing
