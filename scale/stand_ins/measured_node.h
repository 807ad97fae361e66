// Runs the node's program in a child process for benchmarks.
#pragma once

#include <sys/types.h>

#include <string>

#include "asterdrift/seconds.h"
#include "scale/stand_ins/node_setup.h"
#include "scale/stand_ins/temporary_folder.h"
#include "support/child_process.h"

namespace asterdrift::scale {

class MeasuredNode {
 public:
  // Starts the program and waits until it listens. Throws test_support::TimeoutError, with the node's log, if
  // it does not listen in time.
  MeasuredNode(const std::string& program, const NodeSetup& setup);

  pid_t pid() const { return child_.pid(); }
  int port() const { return port_; }

  // Whether the node's health check succeeds.
  bool is_ready() const;
  // Returns whether the health check succeeded within `time_limit`.
  bool wait_ready(Seconds time_limit) const;

 private:
  int wait_for_port() const;

  TemporaryFolder folder_;
  test_support::ChildProcess child_;
  int port_;
};

}  // namespace asterdrift::scale
