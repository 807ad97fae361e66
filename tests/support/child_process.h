// Child processes of a test, which run a function or a program. A child is killed by the destructor of the
// object that started it, and at the latest when the test's process ends.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/file_descriptor.h"

namespace asterdrift::test_support {

// Names and values of environment variables.
using Environment = std::vector<std::pair<std::string, std::string>>;

// A program and how to start it.
struct Program {
  std::string path;
  Environment environment;                 // variables in addition to the inherited ones
  std::optional<rlim_t> descriptor_limit;  // largest number of open files; inherited if unset
};

// A child process. The destructor kills the process unless wait_for_exit() has returned.
class ChildProcess {
 public:
  // Runs `work` in the child, which exits with `kWorkEnded` when `work` returns or throws.
  explicit ChildProcess(const std::function<void()>& work);
  // Runs a program whose standard output and standard error are appended to a file.
  ChildProcess(const Program& program, const std::string& log_path);
  // Runs a program whose standard error is `log_descriptor`.
  ChildProcess(const Program& program, int log_descriptor);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  pid_t pid() const { return pid_; }
  void signal(int signal_number) const;
  // Suspends the process, and returns when the process is suspended.
  void suspend() const;
  void resume() const;
  // Waits until the process has ended. Returns the exit code, or the negative number of the signal that ended
  // the process.
  int wait_for_exit();
  // The folder of the process in /proc.
  std::string proc_folder() const;
  // The folder that lists the open files of the process.
  std::string descriptor_folder() const;

  static constexpr int kWorkEnded = 1;        // exit code of a child that runs a function
  static constexpr int kNotExecutable = 127;  // exit code if the program cannot be run

 private:
  pid_t pid_ = -1;
};

// A program whose standard error is read through a pipe.
class LoggedProgram {
 public:
  explicit LoggedProgram(const Program& program);

  ChildProcess& process() { return child_; }
  const ChildProcess& process() const { return child_; }
  // Reads the log until it contains `part`, the program ends, or nothing is logged for kWaitLimit. Returns
  // the log so far.
  const std::string& read_log_until(const std::string& part);
  // Reads the log to its end and waits until the process has ended. Returns the same as
  // ChildProcess::wait_for_exit().
  int wait_for_exit();

 private:
  struct Pipe {
    Pipe();
    FileDescriptor read_end, write_end;
  };
  bool read_more();

  Pipe pipe_;
  ChildProcess child_;
  std::string log_;
};

}  // namespace asterdrift::test_support
