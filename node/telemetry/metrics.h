// What the node counts for its operators.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace asterdrift::node::telemetry {

// A client's connection that was closed to make room for others.
struct Eviction {
  enum class ConnectionState {
    kNew,             // had sent nothing
    kIdle,            // had had a response, and had sent nothing since
    kPartialRequest,  // had sent a part of a request
    kClosing          // had had its last response
  };

  ConnectionState connection_state = ConnectionState::kNew;
  bool is_recent = false;  // it had been in this state for a moment only
  bool client_is_waiting = false;
};

// Counters. Gauges are read from their owners at the time of a report.
class Metrics {
 public:
  struct Gauges {
    std::size_t pending = 0;              // requests without a complete response
    std::size_t members = 0;              // endpoints listed
    std::size_t members_unavailable = 0;  // of the listed ones, not sent to now
  };

  // request_classes: their names, in the order of the settings.
  explicit Metrics(const std::vector<std::string>& request_classes);

  // A request has had its final response. 200 counts as completed, 429 and 503 as rejected, anything else as
  // failed.
  void count_response(std::size_t request_class, unsigned status);
  // An attempt's last byte has been written to a server.
  void count_attempt() { ++attempts_; }

  void count_eviction(const Eviction& eviction);

  // One metric a line. Every class is reported from the start.
  std::string report(const Gauges& gauges) const;

 private:
  struct ClassCounters {
    std::string name;
    std::uint64_t completed = 0, rejected = 0, failed = 0;
  };

  struct EvictionCounters {
    std::uint64_t recent = 0, older = 0;
  };
  static constexpr std::size_t kEvictionStates = 4;

  std::vector<ClassCounters> classes_;
  std::array<EvictionCounters, kEvictionStates> evictions_;  // by state
  std::uint64_t evictions_without_waiting_client_ = 0;
  std::uint64_t attempts_ = 0;
};

}  // namespace asterdrift::node::telemetry
