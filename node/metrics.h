// What the node counts for its operators. Counters only: what can be asked for now is asked of its owner.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace asterdrift::node {

class Metrics {
 public:
  // What is true at one moment.
  struct Gauges {
    std::size_t pending = 0, members = 0, members_unavailable = 0;
  };

  explicit Metrics(const std::vector<std::string>& classes);

  // A request has had its final answer: 200 is served, 429 and 503 are refused, anything else has failed.
  void answered(std::size_t request_class, unsigned status);
  // An attempt's last byte has been written to a server.
  void attempt_written() { ++attempts_; }

  // One figure a line, each class from the start.
  std::string text(const Gauges& gauges) const;

 private:
  struct Class {
    std::string name;
    std::uint64_t completed = 0, rejected = 0, failed = 0;
  };
  std::vector<Class> classes_;
  std::uint64_t attempts_ = 0;
};

}  // namespace asterdrift::node
