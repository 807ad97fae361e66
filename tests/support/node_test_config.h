// The configuration of a node under test.
#pragma once

#include <string>

namespace asterdrift::node::testing {

// Typed settings; `to_json` maps them to the operators' field names.
struct NodeTestConfig {
  static constexpr const char* kAnyPort = "127.0.0.1:0";

  int listen_port = 0;  // 0: the system chooses
  int discovery_port = 0;
  std::string admin_address;    // host:port; empty: no admin server
  std::string known_endpoints;  // snapshot of an earlier process as JSON; empty: none

  int max_sockets = 1024;
  int max_memory_mb = 64;

  bool awaits_watch = true;  // opens the watch itself; otherwise an agent pushes lists
  bool may_cancel = true;
  bool may_send_retry_after = true;

  double connect_timeout_s = 0.25;
  double idle_close_s = 5;
  double request_timeout_s = 5;
  double dedup_window_s = 4;

  std::string to_json() const;
};

}  // namespace asterdrift::node::testing
