// Many streamed bodies at once stay within the node's memory limit, and leave memory for other requests.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/long_timeout_fixture.h"

namespace asterdrift::node::testing {
namespace {

using namespace std::chrono_literals;

constexpr int kMemoryLimitMb = 16;
constexpr std::size_t kUploads = 32;
// Longer than what the sockets of client, node and server hold together.
constexpr std::size_t kDownloadBytes = 512UL * 1024;
constexpr std::size_t kPiecesOfUpload = 100;
constexpr std::size_t kPieceBytes = 100000;
// The least that the buffer of a blocked stream holds.
constexpr long kMinStreamedBytes = 12L * 1024;

#ifndef __SANITIZE_ADDRESS__
constexpr std::size_t kDownloads = 100;
constexpr long kMaxPeakMemoryKb = kMemoryLimitMb * 1024L;
#else
constexpr std::size_t kDownloads = 25;
// No limit, since the sanitizers use additional memory.
constexpr long kMaxPeakMemoryKb = std::numeric_limits<long>::max();
#endif

// Pseudo-random bytes, whose number no buffer size is a multiple of.
std::string make_pattern() {
  std::string pattern(65521, '\0');
  std::uint32_t state = 12345;
  for (char& byte : pattern) {
    state = state * 1664525 + 1013904223;
    byte = static_cast<char>(state >> 24);
  }
  return pattern;
}

// A body that differs from that of any other index, and in which moved and lost parts are detected.
std::string make_body(std::size_t size, std::size_t index) {
  static const std::string kPattern = make_pattern();
  std::string body = kPattern.substr(index * 100);
  while (body.size() < size) body += kPattern;
  body.resize(size);
  return body;
}

// Threads of the peers, each of which has its own connection. Joined by the destructor.
class PeerThreads {
 public:
  ~PeerThreads() { join(); }
  template <class Function>
  void start(Function&& function) {
    threads_.emplace_back(std::forward<Function>(function));
  }
  void join() {
    for (std::thread& thread : std::exchange(threads_, {})) thread.join();
  }

 private:
  std::vector<std::thread> threads_;
};

struct MemoryLimitFixture : LongTimeoutFixture {
  MemoryLimitFixture() {
    config.max_memory_mb = kMemoryLimitMb;
    start_with_one_server();
  }
  // Ends the node, so that no thread of a failed test waits for it.
  ~MemoryLimitFixture() { node.reset(); }

  // Lets each client request a long response of which it reads nothing yet. Returns when the node cannot
  // forward more of the responses.
  void start_downloads() {
    clients.resize(kDownloads);
    upstreams.resize(kDownloads);
    for (std::size_t i = 0; i < kDownloads; ++i) {
      clients[i] = connect_client();
      upstreams[i] = forward(clients[i], request("close", "", "", "r" + std::to_string(i)));
      peers.start([this, i] { upstreams[i].send(ok_response(make_body(kDownloadBytes, i))); });
    }
    wait_until_streams_are_full();
  }

  // Lets each client send a long request, of which the server reads nothing yet. Returns when the node cannot
  // forward more of the requests.
  void start_uploads() {
    clients.resize(kUploads);
    upstreams.resize(kUploads);
    for (std::size_t i = 0; i < kUploads; ++i) {
      clients[i] = connect_client();
      peers.start([this, i] {
        clients[i].send(request_head("close", "r" + std::to_string(i)) +
                        "Content-Length: " + std::to_string(kPiecesOfUpload * kPieceBytes) + "\r\n\r\n");
        for (std::size_t piece = 0; piece < kPiecesOfUpload; ++piece)
          clients[i].send(make_body(kPieceBytes, piece));
      });
      upstreams[i] = servers[0].accept();
    }
    wait_until([&] { return metric("uploads_blocked") == static_cast<long>(kUploads); });
    wait_until_streams_are_full();
  }

  // A request with a body is served.
  void expect_request_is_served() const {
    TestSocket client = connect_client();
    TestSocket server = forward(client, request("close", "", std::string(30000, 'q'), "with-body"));
    server.send(ok_response("served"));
    EXPECT_TRUE(contains(client.read_message(), "served"));
  }

  void wait_until_streams_are_full() const {
    const long min_streamed = static_cast<long>(clients.size()) * kMinStreamedBytes;
    long before = 0;
    wait_until([&] {
      const long streamed = metric("body_memory.streamed");
      const bool is_settled = streamed == before && streamed >= min_streamed;
      before = streamed;
      std::this_thread::sleep_for(100ms);
      return is_settled;
    });
  }

  void expect_memory_is_free() const {
    EXPECT_LT(node->peak_memory_kb(), kMaxPeakMemoryKb);
    wait_until([&] { return metric("body_memory.streamed") == 0; });
    EXPECT_EQ(metric("body_memory.reserved"), 0);
  }

  std::vector<TestSocket> clients, upstreams;
  PeerThreads peers;  // the last member, so that the threads end before their sockets
};

// Guards against buffers of streamed responses outside of the budget, which grew with each slow reader.
TEST(MemoryLimit, LongResponsesOfManySlowReadersStayWithinTheLimit) {
  MemoryLimitFixture fixture;
  fixture.start_downloads();
  PeerThreads readers;
  std::vector<int> unchanged_bodies(kDownloads);
  for (std::size_t i = 0; i < kDownloads; ++i) {
    readers.start([&fixture, &unchanged_bodies, i] {
      fixture.clients[i].read_until("\r\n\r\n");
      unchanged_bodies[i] +=
          fixture.clients[i].read_bytes(kDownloadBytes) == make_body(kDownloadBytes, i) ? 1 : 0;
    });
  }
  readers.join();
  for (std::size_t i = 0; i < kDownloads; ++i) EXPECT_EQ(unchanged_bodies[i], 1) << "response " << i;
  fixture.expect_memory_is_free();
}

// Guards against slow readers that take the memory for requests, which are then rejected.
TEST(MemoryLimit, SlowReadersLeaveMemoryForRequests) {
  MemoryLimitFixture fixture;
  fixture.start_downloads();
  fixture.expect_request_is_served();
  for (TestSocket& upstream : fixture.upstreams) upstream.shutdown_send();
  for (TestSocket& client : fixture.clients) client.reset();
}

// Guards against uploads that take the memory for requests while their server reads nothing.
TEST(MemoryLimit, UploadsToABlockedServerLeaveMemoryForRequests) {
  MemoryLimitFixture fixture;
  fixture.start_uploads();
  fixture.expect_request_is_served();
  PeerThreads servers;
  std::vector<std::size_t> unchanged_pieces(kUploads);
  for (std::size_t i = 0; i < kUploads; ++i) {
    servers.start([&fixture, &unchanged_pieces, i] {
      TestSocket& server = fixture.upstreams[i];
      server.read_until("\r\n\r\n");
      for (std::size_t piece = 0; piece < kPiecesOfUpload; ++piece) {
        unchanged_pieces[i] += server.read_bytes(kPieceBytes) == make_body(kPieceBytes, piece) ? 1 : 0;
      }
      server.send(ok_response());
    });
  }
  servers.join();
  for (std::size_t i = 0; i < kUploads; ++i) {
    EXPECT_EQ(unchanged_pieces[i], kPiecesOfUpload) << "upload " << i;
    EXPECT_TRUE(contains(fixture.clients[i].read_message(), " 200 "));
  }
  fixture.expect_memory_is_free();
}

}  // namespace
}  // namespace asterdrift::node::testing
