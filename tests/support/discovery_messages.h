// Messages of the discovery service as JSON: endpoint entries, endpoint lists and events of a watch.
#pragma once

#include <cstdint>
#include <string>

namespace asterdrift::test_support {

// An endpoint on the loopback address, as the discovery service describes it.
struct EndpointEntry {
  std::string name;
  int port = 0;
  std::string health = "active";
  int incarnation_ms = 0;  // time at which the endpoint's process started
  std::string zone = "a";
  std::string machine_class = "m";
  unsigned block = 0;
};

// Returns the entry as JSON.
std::string endpoint_json(const EndpointEntry& entry);

// Returns a complete endpoint list as JSON, without an end of line. `entries` holds endpoint entries,
// separated by commas.
std::string snapshot(std::uint64_t sequence, const std::string& entries);

// Returns a list of changed endpoints as JSON, without an end of line.
std::string incremental_list(std::uint64_t sequence, const std::string& entries);

// Return a complete list, or a list of changed endpoints, as an event of a watch: one line.
std::string snapshot_event(std::uint64_t sequence, const std::string& entries);
std::string incremental_event(std::uint64_t sequence, const std::string& entries);

}  // namespace asterdrift::test_support
