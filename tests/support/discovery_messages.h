// Text of discovery's messages: an endpoint's entry, and lists of entries.
#pragma once

#include <cstdint>
#include <string>

namespace asterdrift::test_support {

// One endpoint on loopback, as discovery describes it.
struct EndpointEntry {
  std::string name;
  int port = 0;
  std::string health = "active";
  int incarnation_ms = 0;  // start of the endpoint's process
  std::string zone = "a";
  std::string machine_class = "m";
  unsigned block = 0;
};

// The entry as JSON.
std::string endpoint_json(const EndpointEntry& entry);

// A complete endpoint list as JSON, without an end of line. `entries` are joined by commas.
std::string snapshot(std::uint64_t sequence, const std::string& entries);

// A list of changed endpoints as JSON, without an end of line.
std::string incremental_list(std::uint64_t sequence, const std::string& entries);

// The same as an event of a watch: one line.
std::string snapshot_event(std::uint64_t sequence, const std::string& entries);
std::string incremental_event(std::uint64_t sequence, const std::string& entries);

}  // namespace asterdrift::test_support
