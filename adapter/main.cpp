// simulator-adapter: hosts balancer replicas for the simulator. Each line of standard input is a JSON object
// with a batch of events, and is answered by one line of JSON with the actions.
#include <cstdint>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "adapter/replica_host.h"
#include "json/fields.h"
#include "rapidjson/document.h"

namespace asterdrift::adapter {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitWriteFailed = 1;
constexpr int kExitInvalidInput = 2;

bool write_line(const rapidjson::StringBuffer& line) {
  std::fwrite(line.GetString(), 1, line.GetSize(), stdout);
  std::fputc('\n', stdout);
  return std::fflush(stdout) == 0;
}

// Handles the batches of standard input, and reports errors with the line number and the turn.
class BatchReader {
 public:
  // Handles all batches up to the end of the input, and returns the exit code.
  int run() {
    while (std::getline(std::cin, line_)) {
      if (line_.find_first_not_of(" \t\r") == std::string::npos) continue;
      ++line_number_;
      turn_ = "unknown";
      try {
        if (!write_line(handle_line())) return kExitWriteFailed;
      } catch (const std::exception& error) {
        report(error);
        return kExitInvalidInput;
      }
    }
    return kExitSuccess;
  }

 private:
  const rapidjson::StringBuffer& handle_line() {
    rapidjson::Document batch;
    batch.ParseInsitu(line_.data());
    json::require_valid(batch);
    turn_ = std::to_string(json::unsigned_integer(batch, "turn"));
    return host_.handle_batch(batch);
  }

  void report(const std::exception& error) const {
    std::fprintf(stderr, "simulator-adapter: line %llu, turn %s: %s\n",
                 static_cast<unsigned long long>(line_number_), turn_.c_str(), error.what());
  }

  ReplicaHost host_;
  std::string line_;
  std::uint64_t line_number_ = 0;  // line of the current batch; blank lines do not count
  std::string turn_;               // turn of the current batch; "unknown" until the turn is parsed
};

}  // namespace
}  // namespace asterdrift::adapter

int main() {
  std::ios::sync_with_stdio(false);
  return asterdrift::adapter::BatchReader().run();
}
