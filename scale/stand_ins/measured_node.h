// The node's program under measurement, in a process of its own.
#pragma once

#include <sys/types.h>

#include <string>

#include "scale/stand_ins/node_setup.h"
#include "scale/stand_ins/temporary_folder.h"
#include "support/child_process.h"

namespace asterdrift::scale {

class MeasuredNode {
 public:
  // Starts the program, and returns when it listens. Throws test_support::TimeoutError with its log.
  MeasuredNode(const std::string& program, const NodeSetup& setup);

  pid_t pid() const { return child_.pid(); }
  int port() const { return port_; }

  // Whether its health check succeeds.
  bool is_ready() const;
  bool wait_ready(double limit_s) const;

 private:
  int wait_for_port() const;

  TemporaryFolder folder_;
  test_support::ChildProcess child_;
  int port_;
};

}  // namespace asterdrift::scale
