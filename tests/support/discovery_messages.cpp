// Messages of the discovery service as JSON: endpoint entries, endpoint lists and events of a watch.
#include "support/discovery_messages.h"

namespace asterdrift::test_support {
namespace {

std::string list_json(std::uint64_t sequence, bool complete, const std::string& entries) {
  return R"({"seq":)" + std::to_string(sequence) + R"(,"whole":)" + (complete ? "true" : "false") +
         R"(,"hosts":[)" + entries + "]}";
}

}  // namespace

std::string endpoint_json(const EndpointEntry& entry) {
  return R"({"host":")" + entry.name + R"(","dial":"127.0.0.1:)" + std::to_string(entry.port) +
         R"(","site":")" + entry.zone + R"(","class":")" + entry.machine_class + R"(","block":)" +
         std::to_string(entry.block) + R"(,"health":")" + entry.health + R"(","share":1.0,"born_ms":)" +
         std::to_string(entry.incarnation_ms) + "}";
}

std::string snapshot(std::uint64_t sequence, const std::string& entries) {
  return list_json(sequence, true, entries);
}

std::string incremental_list(std::uint64_t sequence, const std::string& entries) {
  return list_json(sequence, false, entries);
}

std::string snapshot_event(std::uint64_t sequence, const std::string& entries) {
  return snapshot(sequence, entries) + "\n";
}

std::string incremental_event(std::uint64_t sequence, const std::string& entries) {
  return incremental_list(sequence, entries) + "\n";
}

}  // namespace asterdrift::test_support
