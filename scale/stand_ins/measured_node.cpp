// Runs the node's program in a child process for benchmarks.
#include "scale/stand_ins/measured_node.h"

#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <system_error>

#include "support/loopback_socket.h"
#include "support/text_file.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr std::chrono::seconds kStartLimit{10};
constexpr std::chrono::milliseconds kHealthCheckTimeout{1000};
constexpr useconds_t kLogPollPeriodUs = 2000;
constexpr useconds_t kHealthCheckPeriodUs = 5000;
constexpr mode_t kOwnerOnlyMode = 0700;
const char* const kConfigFile = "config.json";
const char* const kLogFile = "log";
const char* const kNodeTemporaryFolder = "own";

// Writes the configuration file and creates the temporary folder of the node. Returns the program with its
// environment variables.
test_support::Program prepare_program(const std::string& program, const NodeSetup& setup,
                                      const TemporaryFolder& folder) {
  const std::string config_path = folder.path_to(kConfigFile);
  const std::string temporary_path = folder.path_to(kNodeTemporaryFolder);
  std::ofstream config(config_path);
  config << config_text(setup) << std::flush;
  if (!config) throw std::system_error(errno, std::generic_category(), "write " + config_path);
  if (mkdir(temporary_path.c_str(), kOwnerOnlyMode) != 0) {
    throw std::system_error(errno, std::generic_category(), "create folder " + temporary_path);
  }
  return {program, {{"GW_CONFIG", config_path}, {"TMPDIR", temporary_path}}, std::nullopt};
}

// Finds the port in the node's log; 0 if the line with the port is missing or incomplete.
int parse_listening_port(const std::string& log) {
  const std::string label = "listening on 127.0.0.1:";
  const std::size_t at = log.find(label);
  if (at == std::string::npos || log.find('\n', at) == std::string::npos) return 0;
  return std::atoi(log.c_str() + at + label.size());
}

}  // namespace

MeasuredNode::MeasuredNode(const std::string& program, const NodeSetup& setup)
    : folder_("scale_node_"),
      child_(prepare_program(program, setup, folder_), folder_.path_to(kLogFile)),
      port_(wait_for_port()) {}

int MeasuredNode::wait_for_port() const {
  const test_support::Stopwatch stopwatch;
  for (;;) {
    const std::string log = test_support::read_text_file(folder_.path_to(kLogFile));
    if (const int port = parse_listening_port(log); port != 0) return port;
    if (stopwatch.seconds() > static_cast<double>(kStartLimit.count())) {
      throw test_support::TimeoutError("the node's port in its log: " + log, kStartLimit);
    }
    usleep(kLogPollPeriodUs);
  }
}

bool MeasuredNode::is_ready() const try {
  auto connection = test_support::TestSocket::connect_to(port_);
  connection.send("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  if (connection.is_idle(kHealthCheckTimeout)) return false;
  return connection.read_until("\r\n").find(" 200 ") != std::string::npos;
} catch (const std::system_error&) {
  return false;  // the node accepts no connections or closed this one
}

bool MeasuredNode::wait_ready(Seconds time_limit) const {
  const test_support::Stopwatch stopwatch;
  while (!is_ready()) {
    if (stopwatch.seconds() > time_limit) return false;
    usleep(kHealthCheckPeriodUs);
  }
  return true;
}

}  // namespace asterdrift::scale
