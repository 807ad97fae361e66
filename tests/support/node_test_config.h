// The configuration of a node under test.
#pragma once

#include <string>

#include "asterdrift/seconds.h"

namespace asterdrift::node::testing {

// Settings of a node. to_json() writes them with the field names that operators use.
struct NodeTestConfig {
  static constexpr const char* kAnyPort = "127.0.0.1:0";

  int listen_port = 0;  // if 0, the system chooses the port
  int discovery_port = 0;
  std::string admin_address;    // host:port, or empty for no admin server
  std::string known_endpoints;  // snapshot of an earlier process as JSON, or empty for none

  int max_sockets = 1024;
  int max_memory_mb = 64;

  bool awaits_watch = true;  // the node opens the watch itself; otherwise an agent pushes endpoint lists
  bool may_cancel = true;
  bool may_send_retry_after = true;

  Seconds connect_timeout = 0.25;
  Seconds idle_timeout = 5;
  Seconds request_timeout = 5;
  Seconds dedup_window = 4;

  std::string to_json() const;
};

}  // namespace asterdrift::node::testing
