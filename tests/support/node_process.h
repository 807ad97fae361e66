// The node as a program under test.
#pragma once

#include <string>

#include "support/child_process.h"

namespace asterdrift::node::testing {

// What a node process gets from its surroundings.
struct NodeProcessOptions {
  rlim_t descriptor_limit = 1024;  // of open files
  test_support::Environment environment = {};
};

// The configuration file of a process, removed with this object.
class ConfigFile {
 public:
  explicit ConfigFile(const std::string& text);
  ConfigFile(const ConfigFile&) = delete;
  ConfigFile& operator=(const ConfigFile&) = delete;
  ~ConfigFile() { remove(); }

  const std::string& path() const { return path_; }
  void write(const std::string& text) const;
  void remove() const;

 private:
  std::string path_;
};

// A running node. Killed by its destructor unless it has ended before.
class NodeProcess {
 public:
  explicit NodeProcess(const std::string& config, const NodeProcessOptions& options = {});

  // The log so far, read until `part` stands in it or the program ends.
  const std::string& read_log_until(const std::string& part) { return program_.read_log_until(part); }
  // The port for clients, once the node listens.
  int port() { return port_in_log_after("listening on 127.0.0.1:"); }
  int admin_port() { return port_in_log_after("admin server on 127.0.0.1:"); }
  // Whether GET /ready on the admin server succeeds.
  bool is_ready();
  // The admin server's response to GET /metrics.
  std::string metrics();

  void signal(int signal_number) const { program_.process().signal(signal_number); }
  // Suspends the process, so that whatever arrives meanwhile is there all at once when it resumes.
  void suspend() const { program_.process().suspend(); }
  void resume() const { program_.process().resume(); }
  // Replaces the configuration and sends SIGHUP.
  void reload(const std::string& config) const;
  // Removes the configuration file and sends SIGHUP.
  void reload_without_file() const;
  // Waits for the end. Returns the exit code, or the negative number of the signal that ended it.
  int wait_for_exit() { return program_.wait_for_exit(); }

  std::string proc_folder() const { return program_.process().proc_folder(); }
  std::string descriptor_folder() const { return program_.process().descriptor_folder(); }
  // The most memory that the process has had resident (VmHWM).
  long peak_memory_kb() const;

 private:
  int port_in_log_after(const std::string& text);
  std::string admin_response(const std::string& request);

  ConfigFile config_;
  test_support::LoggedProgram program_;
};

}  // namespace asterdrift::node::testing
