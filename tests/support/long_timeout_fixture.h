// Fixtures with timeouts so long that only events of the test end a request, and the ways in which a peer
// ends its connection.
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "asterdrift/seconds.h"
#include "support/node_fixture.h"

namespace asterdrift::node::testing {

// Longer than any test runs, so that it never expires.
constexpr Seconds kLongTimeout = 600;

// A node whose timeouts of connection attempts and of requests never expire.
struct LongTimeoutFixture : NodeFixture {
  LongTimeoutFixture();
};

// A node with long timeouts that also keeps idle connections to servers open and never cancels an attempt.
struct KeepAliveFixture : LongTimeoutFixture {
  KeepAliveFixture();
  // Opens a keep-alive connection from the node to each server, by sending requests until each server has
  // served one. Returns the servers' ends of the connections.
  std::array<TestSocket, 2> open_keep_alive_connections();
};

// How a peer ends its connection.
enum class Departure { kClose, kReset, kShutdownSend };

constexpr std::array<Departure, 2> kCloseAndReset = {Departure::kClose, Departure::kReset};
constexpr std::array<Departure, 3> kAllDepartures = {Departure::kClose, Departure::kReset,
                                                     Departure::kShutdownSend};

const char* name_of(Departure departure);
void depart(TestSocket& socket, Departure departure);

// Sends chunks of a request body until the node accepts no more data. Returns the number of bytes of the last
// chunk that are not sent.
std::size_t send_chunks_until_full(const TestSocket& client);

}  // namespace asterdrift::node::testing
