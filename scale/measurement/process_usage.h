// Processor time and memory of processes, from /proc, and this process's limit on open files.
#pragma once

#include <sys/types.h>

#include <cstddef>

#include "asterdrift/seconds.h"

namespace asterdrift::scale {

// Processor time and memory of one process. One MB has 2^20 bytes.
struct ProcessUsage {
  Seconds processor_time = 0;  // processor time since the start of the process
  double resident_mb = 0;      // resident memory
  double peak_mb = 0;          // maximum of the resident memory since the start of the process
};

// Reads the usage of a process. All values are 0 if the process does not exist.
ProcessUsage read_process_usage(pid_t process);

// Raises this process's soft limit on open files to its hard limit, and returns that. Throws
// std::system_error if the limit cannot be read or raised.
std::size_t raise_descriptor_limit();

}  // namespace asterdrift::scale
