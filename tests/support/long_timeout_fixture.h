// Fixtures whose requests end by the events of a test alone, and ways for a peer to depart.
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "support/node_fixture.h"

namespace asterdrift::node::testing {

// Longer than any test runs.
constexpr double kNeverExpiresS = 600;

// A node without timeouts on attempts and requests.
struct LongTimeoutFixture : NodeFixture {
  LongTimeoutFixture();
};

// The same, with idle connections that stay open and attempts that are never cancelled.
struct KeepAliveFixture : LongTimeoutFixture {
  KeepAliveFixture();
  // Opens a keep-alive connection to each server, by requests that it serves.
  std::array<TestSocket, 2> open_keep_alive_connections();
};

// How a peer ends its connection.
enum class Departure { kClose, kReset, kShutdownSend };

constexpr std::array<Departure, 2> kCloseAndReset = {Departure::kClose, Departure::kReset};
constexpr std::array<Departure, 3> kAllDepartures = {Departure::kClose, Departure::kReset,
                                                     Departure::kShutdownSend};

const char* name_of(Departure departure);
void depart(TestSocket& socket, Departure departure);

// Sends chunks of an upload until the node takes no more. Returns how much of the last chunk is unsent.
std::size_t send_chunks_until_full(const TestSocket& client);

}  // namespace asterdrift::node::testing
