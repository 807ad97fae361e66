// Hundreds of clients and servers whose messages are costly to hold: the node stays within the least memory
// that the operators give it.
#include <sys/resource.h>

#include <cstddef>
#include <limits>
#include <string>
#include <vector>

#include "support/long_timeout_fixture.h"

namespace asterdrift::node::testing {
namespace {

constexpr int kLeastMemoryMb = 32;
constexpr int kDescriptors = 1024;
// A head just under the node's limit of 8 KiB.
constexpr std::size_t kShortFields = 1900;

#ifndef __SANITIZE_ADDRESS__
constexpr std::size_t kClients = 540;
constexpr std::size_t kServerConnections = 440;
constexpr long kMaxPeakMemoryKb = kLeastMemoryMb * 1024L;
#else
constexpr std::size_t kClients = 60;
constexpr std::size_t kServerConnections = 40;
// No limit, since the sanitizers use additional memory.
constexpr long kMaxPeakMemoryKb = std::numeric_limits<long>::max();
#endif

// Lets this process open as many descriptors as the system allows.
void raise_descriptor_limit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

struct CrowdFixture : LongTimeoutFixture {
  CrowdFixture() {
    raise_descriptor_limit();
    config.max_memory_mb = kLeastMemoryMb;
    config.max_sockets = kDescriptors;
    start_with_one_server();
  }

  void expect_memory_within_limit() const { EXPECT_LT(node->peak_memory_kb(), kMaxPeakMemoryKb); }
};

// Guards against heads whose parsed fields take twenty times the bytes that arrived.
TEST(CrowdMemory, HeadsOfManyShortFieldsStayWithinTheLimit) {
  CrowdFixture fixture;
  std::vector<TestSocket> clients(kClients);
  for (std::size_t i = 0; i < kClients; ++i) {
    clients[i] = fixture.connect_client();
    clients[i].send(request_head("close", "r" + std::to_string(i)) + repeated("a:\r\n", kShortFields));
  }
  for (TestSocket& client : clients) EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 431 "));
  fixture.expect_memory_within_limit();
}

// Guards against the same heads in responses of servers.
TEST(CrowdMemory, ResponseHeadsOfManyShortFieldsStayWithinTheLimit) {
  CrowdFixture fixture;
  std::vector<TestSocket> clients(kServerConnections), upstreams(kServerConnections);
  for (std::size_t i = 0; i < kServerConnections; ++i) {
    clients[i] = fixture.connect_client();
    upstreams[i] = fixture.forward(clients[i], request_with_id("close", "r" + std::to_string(i)));
  }
  for (TestSocket& upstream : upstreams)
    upstream.send("HTTP/1.1 200 OK\r\n" + repeated("a:\r\n", kShortFields));
  for (TestSocket& client : clients) EXPECT_TRUE(contains(client.read_message(), "HTTP/1.1 502 "));
  fixture.expect_memory_within_limit();
}

// Guards against idle keep-alive connections that hold the memory of their last response's body.
TEST(CrowdMemory, ServedConnectionsHoldNoBodies) {
  CrowdFixture fixture;
  const std::string body(60000, 'b');
  std::vector<TestSocket> clients(kClients);
  TestSocket server;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients[i] = fixture.connect_client();
    clients[i].send(request_with_id("close", "r" + std::to_string(i)));
    if (!server.is_open()) server = fixture.servers[0].accept();
    server.read_message();
    server.send(ok_response(body));
    EXPECT_EQ(clients[i].read_message().size(), ok_response(body).size());
  }
  fixture.expect_memory_within_limit();
}

}  // namespace
}  // namespace asterdrift::node::testing
