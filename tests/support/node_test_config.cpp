// The configuration of a node under test, as JSON with the field names that operators use.
#include "support/node_test_config.h"

#include <sstream>

namespace asterdrift::node::testing {
namespace {

const char* json_bool(bool value) { return value ? "true" : "false"; }

}  // namespace

std::string NodeTestConfig::to_json() const {
  std::ostringstream out;
  out << R"({"name":"n1","listen":"127.0.0.1:)" << listen_port << R"(","discovery":"127.0.0.1:)"
      << discovery_port << R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" << max_sockets
      << R"(,"memory_mb":)" << max_memory_mb << "},";
  if (!known_endpoints.empty()) out << R"("known":)" << known_endpoints << ",";
  if (!admin_address.empty()) out << R"("management":")" << admin_address << R"(",)";
  out << R"("settings":{"position":0,"peersTotal":1,"stage":1,"registryMode":")"
      << (awaits_watch ? "subscribe" : "automatic") << R"(","azs":["a"],"bounds":{"cancel":)"
      << json_bool(may_cancel) << R"(,"maxAttempts":4,"retryAfter":)" << json_bool(may_send_retry_after)
      << R"(,"maxRetryAfter":2.0,"dialTimeout":)" << connect_timeout << R"(,"idleClose":)" << idle_timeout
      << "},"
      << R"("realms":[{"name":"acme","allowancePerS":1000}],"rules":{"askWithin":0.4},"categories":[)"
      << R"({"name":"mark","aim":2,"giveUp":)" << request_timeout
      << R"(,"lateWorth":0.5,"effect":"keyed","group":"cell","dedupWindow":)" << dedup_window << R"(},)"
      << R"({"name":"close","aim":2,"giveUp":)" << request_timeout
      << R"(,"lateWorth":0.5,"effect":"unsafe"}]}})";
  return out.str();
}

}  // namespace asterdrift::node::testing
