// Processor time and memory of processes, from /proc, and this process's limit on open files.
#include "scale/measurement/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <sstream>
#include <string>
#include <system_error>

#include "support/text_file.h"

namespace asterdrift::scale {
namespace {

constexpr double kKilobytesPerMegabyte = 1024;  // /proc/PID/status has kB of 2^10 bytes
constexpr double kNanosecondsPerSecond = 1e9;

// Finds the number of a field in the text of /proc/PID/status. Returns 0 if there is no such field.
double parse_status_field(const std::string& status, const std::string& name) {
  const std::string label = "\n" + name + ":";
  const std::size_t at = status.find(label);
  return at == std::string::npos ? 0 : std::strtod(status.c_str() + at + label.size(), nullptr);
}

// The processor time in the text of /proc/PID/stat, with a resolution of one clock tick. This is the fallback
// when the scheduler's statistics are not available.
Seconds parse_tick_processor_time(const std::string& stat) {
  // Number of fields between the process's name, which is in parentheses, and the processor times.
  constexpr int kFieldsBeforeTimes = 11;
  const std::size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(stat.substr(name_end + 2));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) fields >> skipped;
  double user_ticks = 0;
  double system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// The processor time of the process with this folder in /proc.
Seconds read_processor_time(const std::string& folder) {
  std::istringstream scheduler_statistics(test_support::read_text_file(folder + "/schedstat"));
  double nanoseconds = 0;
  if (scheduler_statistics >> nanoseconds && nanoseconds > 0) return nanoseconds / kNanosecondsPerSecond;
  return parse_tick_processor_time(test_support::read_text_file(folder + "/stat"));
}

}  // namespace

ProcessUsage read_process_usage(pid_t process) {
  const std::string folder = "/proc/" + std::to_string(process);
  const std::string status = test_support::read_text_file(folder + "/status");
  ProcessUsage usage;
  usage.resident_mb = parse_status_field(status, "VmRSS") / kKilobytesPerMegabyte;
  usage.peak_mb = parse_status_field(status, "VmHWM") / kKilobytesPerMegabyte;
  usage.processor_time = read_processor_time(folder);
  return usage;
}

std::size_t raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::system_error(errno, std::generic_category(),
                            "cannot read the limit on open files (RLIMIT_NOFILE)");
  }
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::system_error(
        errno, std::generic_category(),
        "cannot raise the soft limit on open files (RLIMIT_NOFILE) to the hard limit of " +
            std::to_string(limit.rlim_max));
  }
  return limit.rlim_cur;
}

}  // namespace asterdrift::scale
