// The system's table of TCP connections (/proc/net/tcp).
#pragma once

#include <vector>

namespace asterdrift::test_support {

// One row of the table.
struct ConnectionRow {
  unsigned local_port = 0;
  unsigned remote_port = 0;
  unsigned state = 0;
  unsigned unsent_bytes = 0;
  unsigned unread_bytes = 0;
};

std::vector<ConnectionRow> connection_table();

// Whether a connection to this port is being opened.
bool connection_attempt_to(int port);

// Whether the other side has read everything that was sent from this port.
bool all_read_from(int port);

}  // namespace asterdrift::test_support
