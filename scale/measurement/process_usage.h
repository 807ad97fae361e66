// What the system reports of processes, and this process's limit of open files.
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace asterdrift::scale {

// Processor time and memory of one process.
struct ProcessUsage {
  double processor_time_s = 0;  // so far
  double resident_mb = 0;       // now; MB of 2^20 bytes
  double peak_mb = 0;           // maximum so far; MB of 2^20 bytes
};

// All zero for a process that does not exist.
ProcessUsage usage_of(pid_t process);

// Raises this process's soft limit of open files to the hard one. Returns the limit that holds then.
std::size_t raise_descriptor_limit();

}  // namespace asterdrift::scale
