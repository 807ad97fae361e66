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

// Returns whether a connection to this port is being established: the SYN is sent but not answered.
bool connection_attempt_to(int port);

// Returns whether the peers have read everything that was sent from this port.
bool all_read_from(int port);

}  // namespace asterdrift::test_support
