// Uploads whose server takes no bytes, or takes them slowly: the response comes in time, and no upload is
// given up that can still be served.
#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMebibyte = 1024UL * 1024;
// The operators' rule: a response up to this long after the request's timeout is late, a later one is lost.
constexpr Seconds kLostAfter = 0.5;

enum class Framing { kContentLength, kChunked };

// A request with a body of `size` bytes.
std::string upload_request(std::size_t size, Framing framing) {
  const std::string body(size, 'u');
  if (framing == Framing::kContentLength) return request("close", "", body);
  return request_head("close") + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n";
}

// A node with one server, whose requests have a timeout of `timeout`.
struct UploadFixture : NodeFixture {
  explicit UploadFixture(Seconds timeout) {
    config.request_timeout = timeout;
    enable_admin_server();
    start_with_one_server();
  }
};

// The send buffer that the system chooses, and lets grow to some MiB.
constexpr int kSystemSendBuffer = 0;

// Sends a request in a thread of its own, since the node may stop reading.
class UploadingClient {
 public:
  UploadingClient(const UploadFixture& fixture, std::string text, int send_buffer_bytes)
      : socket_(fixture.connect_client()), text_(std::move(text)) {
    if (send_buffer_bytes != kSystemSendBuffer) socket_.limit_send_buffer(send_buffer_bytes);
    thread_ = std::thread([this] { socket_.send(text_); });
  }
  ~UploadingClient() {
    socket_.shutdown_send();  // the thread of a failed test waits no longer
    if (thread_.joinable()) thread_.join();
  }

  // Returns when the last byte has been handed to the system.
  void wait_until_sent() { thread_.join(); }
  std::string read_response() { return socket_.read_message(); }

 private:
  TestSocket socket_;
  const std::string text_;
  std::thread thread_;
};

constexpr int kSmallSendBuffer = 64 * 1024;
constexpr int kLargeSendBuffer = 4 * 1024 * 1024;

// Reads the body of an upload in pieces of `piece` bytes, one in 50 ms. Returns how many bytes arrived.
std::size_t read_slowly(TestSocket& server, std::size_t size, std::size_t piece) {
  std::size_t received = 0;
  while (received < size) {
    const std::size_t count = server.read_bytes(std::min(piece, size - received)).size();
    if (count == 0) break;
    received += count;
    std::this_thread::sleep_for(50ms);
  }
  return received;
}

// Guards against requests that get no response while their server hangs, since the node has stopped reading
// before the last byte and so no deadline has begun.
TEST(BlockedUpload, RequestIsAnsweredInTimeWhileItsServerTakesNoBytes) {
  constexpr Seconds kTimeout = 1;
  for (const Framing framing : {Framing::kContentLength, Framing::kChunked}) {
    UploadFixture fixture(kTimeout);
    const Stopwatch since_start;
    UploadingClient client(fixture, upload_request(16 * kMebibyte, framing), kLargeSendBuffer);
    TestSocket server = fixture.servers[0].accept();
    wait_until([&] { return fixture.metric("uploads_blocked") == 1; });
    const std::string response = client.read_response();
    EXPECT_TRUE(contains(response, "HTTP/1.1 503 ")) << "no server has begun the request: " << response;
    EXPECT_TRUE(contains(response, "Retry-After: "));
    EXPECT_LT(since_start.seconds(), kTimeout + kLostAfter);
    EXPECT_EQ(fixture.metric("uploads_blocked"), 0);
    EXPECT_LT(server.read_bytes(20 * kMebibyte).size(), 16 * kMebibyte)
        << "the server must not get the complete request later";
  }
}

// Guards against requests that have arrived completely and get no response while the node reads them no
// faster than a slow server takes them.
TEST(BlockedUpload, RequestThatHasArrivedIsAnsweredInTimeWhileItsServerReadsSlowly) {
  constexpr Seconds kTimeout = 1;
  constexpr std::size_t kBytes = 12 * kMebibyte;
  UploadFixture fixture(kTimeout);
  UploadingClient client(fixture, upload_request(kBytes, Framing::kContentLength), kSmallSendBuffer);
  TestSocket server = fixture.servers[0].accept();
  std::thread reader([&] { read_slowly(server, kBytes, 75000); });  // 1.5 MB/s
  client.wait_until_sent();
  const Stopwatch since_sent;
  EXPECT_TRUE(contains(client.read_response(), "HTTP/1.1 503 "));
  EXPECT_LT(since_sent.seconds(), kTimeout + kLostAfter);
  reader.join();
}

// Guards against requests that wait at the system of their client, which has sent them, while their server
// takes some bytes again and again.
TEST(BlockedUpload, RequestThatItsClientHasSentIsAnsweredInTimeWhileItsServerReadsSlowly) {
  constexpr Seconds kTimeout = 1;
  constexpr std::size_t kBytes = 5 * kMebibyte;
  for (const Framing framing : {Framing::kContentLength, Framing::kChunked}) {
    for (const std::size_t piece : {std::size_t{25000}, std::size_t{75000}}) {  // 0.5 and 1.5 MB/s
      UploadFixture fixture(kTimeout);
      UploadingClient client(fixture, upload_request(kBytes, framing), kSystemSendBuffer);
      TestSocket server = fixture.servers[0].accept();
      std::atomic<bool> is_answered = false;
      std::thread reader([&] {
        while (!is_answered && read_slowly(server, piece, piece) == piece) {
        }
      });
      client.wait_until_sent();
      const Stopwatch since_sent;
      EXPECT_TRUE(contains(client.read_response(), "HTTP/1.1 50"));
      is_answered = true;
      EXPECT_LT(since_sent.seconds(), kTimeout + kLostAfter) << "pieces of " << piece << " bytes";
      reader.join();
    }
  }
}

// Guards against uploads that are given up since they take longer than their timeout, which counts from their
// last byte.
TEST(BlockedUpload, UploadThatItsServerReadsSlowlyIsServed) {
  constexpr Seconds kTimeout = 3;
  constexpr std::size_t kBytes = 32 * kMebibyte;
  UploadFixture fixture(kTimeout);
  const Stopwatch since_start;
  UploadingClient client(fixture, upload_request(kBytes, Framing::kContentLength), kSmallSendBuffer);
  TestSocket server = fixture.servers[0].accept();
  server.read_until("\r\n\r\n");
  EXPECT_EQ(read_slowly(server, kBytes, 350000), kBytes);  // 7 MB/s
  EXPECT_GT(since_start.seconds(), kTimeout);
  server.send(ok_response());
  EXPECT_TRUE(contains(client.read_response(), " 200 "));
}

}  // namespace
}  // namespace asterdrift::node::testing
