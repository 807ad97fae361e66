// The metrics that the node reports to its operators.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace asterdrift::node::telemetry {

// The eviction of a client's connection, which was closed to make room for other connections.
struct Eviction {
  enum class ConnectionState {
    kNew,             // the client had sent nothing
    kIdle,            // the client had sent nothing since its last response
    kPartialRequest,  // the client had sent a part of a request
    kClosing          // the last response of the connection had been sent
  };

  ConnectionState connection_state = ConnectionState::kNew;
  bool is_recent = false;          // the connection had been in this state only for a moment
  bool client_is_waiting = false;  // a client was waiting for its connection to be accepted
};

// The node's counters. The values of gauges are passed in for each report.
class Metrics {
 public:
  struct Gauges {
    std::size_t pending_requests = 0;       // requests without a complete response
    std::size_t listed_endpoints = 0;       // endpoints in the endpoint list
    std::size_t unavailable_endpoints = 0;  // listed endpoints that are sent no requests now
    std::size_t reserved_body_bytes = 0;    // memory for bodies that is reserved from the budget
    std::size_t streamed_body_bytes = 0;    // bytes of bodies that are being streamed, reserved or not
    std::size_t blocked_uploads = 0;        // uploads that are not read, as their servers take no bytes
  };

  // request_classes: the names of the request classes, in the order of the settings.
  explicit Metrics(const std::vector<std::string>& request_classes);

  // Counts a final response. The status 200 counts as completed, 429 and 503 as rejected, and any other as
  // failed.
  void count_response(std::size_t request_class, unsigned status);
  // Counts an attempt whose request has been written completely to a server.
  void count_attempt() { ++attempts_; }

  void count_eviction(const Eviction& eviction);

  // Counts a response that was cut off since its client took no byte of it for too long.
  void count_stalled_response() { ++stalled_responses_; }

  // Returns one line for each metric. Every request class is reported from the start, also while its counters
  // are 0.
  std::string report(const Gauges& gauges) const;

 private:
  struct ClassCounters {
    std::string name;  // the name of the request class in the report
    std::uint64_t completed = 0, rejected = 0, failed = 0;
  };

  struct EvictionCounters {
    std::uint64_t recent = 0, older = 0;
  };
  static constexpr std::size_t kEvictionStates = 4;

  std::vector<ClassCounters> classes_;
  std::array<EvictionCounters, kEvictionStates> evictions_;  // the counters of each Eviction::ConnectionState
  std::uint64_t evictions_without_waiting_client_ = 0;
  std::uint64_t attempts_ = 0;
  std::uint64_t stalled_responses_ = 0;
};

}  // namespace asterdrift::node::telemetry
