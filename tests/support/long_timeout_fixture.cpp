// Fixtures with timeouts so long that only events of the test end a request, and the ways in which a peer
// ends its connection.
#include "support/long_timeout_fixture.h"

#include <utility>

namespace asterdrift::node::testing {

LongTimeoutFixture::LongTimeoutFixture() {
  config.connect_timeout = config.request_timeout = kLongTimeout;
  enable_admin_server();
}

KeepAliveFixture::KeepAliveFixture() {
  config.idle_timeout = kLongTimeout;
  config.may_cancel = false;
}

std::array<TestSocket, 2> KeepAliveFixture::open_keep_alive_connections() {
  std::array<TestSocket, 2> connections;
  std::array<bool, 2> is_open{};
  for (int i = 0; !is_open[0] || !is_open[1]; ++i) {
    TestSocket client = connect_client();
    client.send(request_with_id("close", "warm" + std::to_string(i)));
    std::size_t target = servers.size();
    wait_until([&] {
      for (std::size_t index = 0; index < servers.size(); ++index) {
        if (is_open[index] ? !connections[index].is_idle() : !servers[index].is_idle()) target = index;
      }
      return target < servers.size();
    });
    if (!std::exchange(is_open[target], true)) connections[target] = servers[target].accept();
    connections[target].read_message();
    connections[target].send(ok_response());
    EXPECT_TRUE(contains(client.read_message(), " 200 "));
  }
  return connections;
}

const char* name_of(Departure departure) {
  switch (departure) {
    case Departure::kClose:
      return "close";
    case Departure::kReset:
      return "reset";
    case Departure::kShutdownSend:
      return "end of sending";
  }
  return "unknown departure";
}

void depart(TestSocket& socket, Departure departure) {
  switch (departure) {
    case Departure::kClose:
      return socket.close();
    case Departure::kReset:
      return socket.reset();
    case Departure::kShutdownSend:
      return socket.shutdown_send();
  }
}

std::size_t send_chunks_until_full(const TestSocket& client) {
  const std::string piece = chunk(std::string(8000, 'u'));
  std::size_t unsent = 0;
  for (std::size_t sent = piece.size(); sent == piece.size();) {
    sent = client.send_available(piece);
    unsent = piece.size() - sent;
  }
  return unsent;
}

}  // namespace asterdrift::node::testing
