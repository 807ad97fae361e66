// What the node counts for its operators.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace asterdrift::node::telemetry {

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

  // One metric a line. Every class is reported from the start.
  std::string report(const Gauges& gauges) const;

 private:
  struct ClassCounters {
    std::string name;
    std::uint64_t completed = 0, rejected = 0, failed = 0;
  };

  std::vector<ClassCounters> classes_;
  std::uint64_t attempts_ = 0;
};

}  // namespace asterdrift::node::telemetry
