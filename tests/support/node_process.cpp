// Runs the node as a program.
#include "support/node_process.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <system_error>

#include "support/loopback_socket.h"
#include "support/text.h"
#include "support/wait_until.h"

namespace asterdrift::node::testing {
namespace {

using test_support::TestSocket;

std::string unique_config_path() {
  static int count = 0;
  return ::testing::TempDir() + "/node_" + std::to_string(getpid()) + "_" + std::to_string(++count);
}

test_support::Program node_program(const std::string& config_path, const NodeProcessOptions& options) {
  test_support::Program program{NODE, {{"GW_CONFIG", config_path}}, options.descriptor_limit};
  program.environment.insert(program.environment.end(), options.environment.begin(),
                             options.environment.end());
  return program;
}

}  // namespace

ConfigFile::ConfigFile(const std::string& text) : path_(unique_config_path()) { write(text); }

void ConfigFile::write(const std::string& text) const {
  std::ofstream file(path_);
  file << text << std::flush;
  if (!file) throw std::system_error(errno, std::generic_category(), "write " + path_);
}

void ConfigFile::remove() const { std::remove(path_.c_str()); }

NodeProcess::NodeProcess(const std::string& config, const NodeProcessOptions& options)
    : config_(config), program_(node_program(config_.path(), options)) {}

bool NodeProcess::is_ready() {
  return test_support::contains(admin_response("GET /ready HTTP/1.1\r\n\r\n"), " 200 ");
}

std::string NodeProcess::metrics() { return admin_response("GET /metrics HTTP/1.1\r\n\r\n"); }

void NodeProcess::reload(const std::string& config) const {
  config_.write(config);
  signal(SIGHUP);
}

void NodeProcess::reload_without_file() const {
  config_.remove();
  signal(SIGHUP);
}

long NodeProcess::peak_memory_kb() const {
  const std::string field = "VmHWM:";
  const std::string path = proc_folder() + "/status";
  std::ifstream status(path);
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field)) return std::stol(line.substr(field.size()));
  }
  throw std::system_error(std::make_error_code(std::errc::no_message_available),
                          "read " + field + " of " + path);
}

int NodeProcess::port_in_log_after(const std::string& text) {
  const std::size_t position = read_log_until(text).find(text);
  if (position == std::string::npos) {
    throw test_support::TimeoutError(
        "\"" + text + "\" in the node's log, which contains: " + read_log_until(""),
        test_support::kWaitLimit);
  }
  return std::stoi(read_log_until("\n").substr(position + text.size()));
}

std::string NodeProcess::admin_response(const std::string& request) {
  TestSocket client = TestSocket::connect_to(admin_port());
  client.send(request);
  return client.read_message();
}

}  // namespace asterdrift::node::testing
