// What the system reports of processes, and this process's limit of open files.
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

constexpr double kKilobytesPerMegabyte = 1024;
constexpr double kNanosecondsPerSecond = 1e9;

// The number after a name in /proc/PID/status; 0 where the name is not there.
double status_field(const std::string& status, const std::string& name) {
  const std::string label = "\n" + name + ":";
  const std::size_t at = status.find(label);
  return at == std::string::npos ? 0 : std::strtod(status.c_str() + at + label.size(), nullptr);
}

// From /proc/PID/stat, in clock ticks: the fallback where the scheduler's statistics are not available.
double ticked_processor_time(const std::string& stat) {
  constexpr int kFieldsBeforeTimes = 11;  // after the name in parentheses
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

double processor_time(const std::string& folder) {
  std::istringstream scheduler_statistics(test_support::read_text_file(folder + "/schedstat"));
  double nanoseconds = 0;
  if (scheduler_statistics >> nanoseconds && nanoseconds > 0) return nanoseconds / kNanosecondsPerSecond;
  return ticked_processor_time(test_support::read_text_file(folder + "/stat"));
}

}  // namespace

ProcessUsage usage_of(pid_t process) {
  const std::string folder = "/proc/" + std::to_string(process);
  const std::string status = test_support::read_text_file(folder + "/status");
  ProcessUsage usage;
  usage.resident_mb = status_field(status, "VmRSS") / kKilobytesPerMegabyte;
  usage.peak_mb = status_field(status, "VmHWM") / kKilobytesPerMegabyte;
  usage.processor_time_s = processor_time(folder);
  return usage;
}

std::size_t raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::system_error(errno, std::generic_category(), "read the limit of open files");
  }
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::system_error(errno, std::generic_category(), "raise the limit of open files");
  }
  return limit.rlim_cur;
}

}  // namespace asterdrift::scale
