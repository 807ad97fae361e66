// Runs the node as a program.
#pragma once

#include <string>

#include "support/child_process.h"

namespace asterdrift::node::testing {

// Resource limit and environment of a node process.
struct NodeProcessOptions {
  rlim_t descriptor_limit = 1024;  // largest number of open files
  test_support::Environment environment = {};
};

// The configuration file of a process. The destructor removes the file.
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

// A node process. The destructor kills the process unless wait_for_exit() has returned.
class NodeProcess {
 public:
  explicit NodeProcess(const std::string& config, const NodeProcessOptions& options = {});

  // Reads the log until it contains `part`, the program ends, or nothing is logged for kWaitLimit. Returns
  // the log so far.
  const std::string& read_log_until(const std::string& part) { return program_.read_log_until(part); }
  // Waits until the node listens for clients, and returns the port.
  int port() { return port_in_log_after("listening on 127.0.0.1:"); }
  // Waits until the admin server listens, and returns the port.
  int admin_port() { return port_in_log_after("admin server on 127.0.0.1:"); }
  // Returns whether GET /ready on the admin server succeeds.
  bool is_ready();
  // Returns the admin server's response to GET /metrics.
  std::string metrics();

  void signal(int signal_number) const { program_.process().signal(signal_number); }
  // Suspends the process. Everything that arrives meanwhile is there at once when the process resumes.
  void suspend() const { program_.process().suspend(); }
  void resume() const { program_.process().resume(); }
  // Replaces the configuration file and sends SIGHUP.
  void reload(const std::string& config) const;
  // Removes the configuration file and sends SIGHUP.
  void reload_without_file() const;
  // Waits until the process has ended. Returns the exit code, or the negative number of the signal that ended
  // the process.
  int wait_for_exit() { return program_.wait_for_exit(); }

  std::string proc_folder() const { return program_.process().proc_folder(); }
  std::string descriptor_folder() const { return program_.process().descriptor_folder(); }
  // Returns the peak resident memory of the process (VmHWM).
  long peak_memory_kb() const;

 private:
  int port_in_log_after(const std::string& text);
  std::string admin_response(const std::string& request);

  ConfigFile config_;
  test_support::LoggedProgram program_;
};

}  // namespace asterdrift::node::testing
