// Selection of the socket that accepts new connections to an address on which several sockets listen.
#include "node/net/connection_steering.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <vector>

#include "support/file_descriptor.h"
#include "support/loopback_socket.h"

namespace asterdrift::node::net {
namespace {

using test_support::FileDescriptor;
using test_support::TestSocket;

constexpr int kConnections = 40;

// Listens on a port that other sockets may share. If port is 0, the system chooses it.
FileDescriptor listen_on(int& port) {
  FileDescriptor descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const int enabled = 1;
  setsockopt(descriptor.get(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  EXPECT_EQ(::bind(descriptor.get(), reinterpret_cast<const sockaddr*>(&address), size), 0);
  EXPECT_EQ(::listen(descriptor.get(), kConnections * 2), 0);
  ::getsockname(descriptor.get(), reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return descriptor;
}

int accept_all(const FileDescriptor& listener) {
  int count = 0;
  while (FileDescriptor(::accept(listener.get(), nullptr, nullptr)).is_open()) ++count;
  return count;
}

void connect(int port, std::vector<TestSocket>& clients) {
  for (int i = 0; i < kConnections; ++i) clients.push_back(TestSocket::connect_to(port));
}

TEST(ConnectionSteering, NewConnectionsGoToSocketWithIndex) {
  int port = 0;
  FileDescriptor older = listen_on(port);
  const FileDescriptor newer = listen_on(port);
  std::vector<TestSocket> clients;
  ASSERT_TRUE(steer_new_connections(older.get(), 1));
  connect(port, clients);
  EXPECT_EQ(accept_all(older), 0);
  EXPECT_EQ(accept_all(newer), kConnections);
  ASSERT_TRUE(steer_new_connections(newer.get(), 0));
  connect(port, clients);
  EXPECT_EQ(accept_all(older), kConnections);
  EXPECT_EQ(accept_all(newer), 0);
  stop_steering(newer.get());
  connect(port, clients);
  EXPECT_GT(accept_all(older), 0);
  EXPECT_GT(accept_all(newer), 0);
}

// After the socket with index 0 has been closed, the remaining socket has index 0, and no socket has index 1.
TEST(ConnectionSteering, ConnectionsToIndexWithoutSocketAreAccepted) {
  int port = 0;
  FileDescriptor older = listen_on(port);
  const FileDescriptor newer = listen_on(port);
  ASSERT_TRUE(steer_new_connections(older.get(), 1));
  older.close();
  std::vector<TestSocket> clients;
  connect(port, clients);
  EXPECT_EQ(accept_all(newer), kConnections);
}

}  // namespace
}  // namespace asterdrift::node::net
