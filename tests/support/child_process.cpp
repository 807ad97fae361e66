// Child processes of a test, which run a function or a program.
#include "support/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <limits>
#include <system_error>

#include "support/wait_until.h"

namespace asterdrift::test_support {
namespace {

constexpr std::size_t kReadBufferBytes = 1024;
constexpr mode_t kLogFileMode = 0600;

// Forks a child that is killed when this process ends. Returns 0 in the child, and the child's id in this
// process.
pid_t fork_bound_to_parent() {
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The signal is not sent if the parent had ended before prctl().
    if (getppid() != parent) _exit(ChildProcess::kWorkEnded);
  }
  return child;
}

// Replaces the calling process by the program.
[[noreturn]] void execute(const Program& program) {
  if (program.descriptor_limit) {
    const rlimit limit{*program.descriptor_limit, *program.descriptor_limit};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  for (const auto& [name, value] : program.environment) setenv(name.c_str(), value.c_str(), 1);
  execl(program.path.c_str(), program.path.c_str(), static_cast<char*>(nullptr));
  std::fprintf(stderr, "cannot run %s: %s\n", program.path.c_str(),
               std::generic_category().message(errno).c_str());
  _exit(ChildProcess::kNotExecutable);
}

}  // namespace

ChildProcess::ChildProcess(const std::function<void()>& work) : pid_(fork_bound_to_parent()) {
  if (pid_ > 0) return;
  try {
    work();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the function of a child process threw an exception: %s\n", error.what());
  }
  _exit(kWorkEnded);
}

ChildProcess::ChildProcess(const Program& program, const std::string& log_path) {
  const FileDescriptor log(open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogFileMode));
  if (!log.is_open()) throw std::system_error(errno, std::generic_category(), "open " + log_path);
  pid_ = fork_bound_to_parent();
  if (pid_ > 0) return;
  dup2(log.get(), STDOUT_FILENO);
  dup2(log.get(), STDERR_FILENO);
  execute(program);
}

ChildProcess::ChildProcess(const Program& program, int log_descriptor) : pid_(fork_bound_to_parent()) {
  if (pid_ > 0) return;
  dup2(log_descriptor, STDERR_FILENO);
  execute(program);
}

ChildProcess::~ChildProcess() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ChildProcess::signal(int signal_number) const { kill(pid_, signal_number); }

void ChildProcess::suspend() const {
  signal(SIGSTOP);
  wait_until([&] {
    std::string state;
    std::ifstream stat(proc_folder() + "/stat");
    stat.ignore(std::numeric_limits<std::streamsize>::max(), ')') >> state;
    return state == "T";
  });
}

void ChildProcess::resume() const { signal(SIGCONT); }

int ChildProcess::wait_for_exit() {
  int status = 0;
  waitpid(std::exchange(pid_, -1), &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string ChildProcess::proc_folder() const { return "/proc/" + std::to_string(pid_); }

std::string ChildProcess::descriptor_folder() const { return proc_folder() + "/fd"; }

LoggedProgram::Pipe::Pipe() {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "create a pipe for a program's log");
  }
  read_end = FileDescriptor(ends[0]);
  write_end = FileDescriptor(ends[1]);
}

LoggedProgram::LoggedProgram(const Program& program) : child_(program, pipe_.write_end.get()) {
  pipe_.write_end.close();
}

const std::string& LoggedProgram::read_log_until(const std::string& part) {
  while (log_.find(part) == std::string::npos && read_more()) {
  }
  return log_;
}

int LoggedProgram::wait_for_exit() {
  while (read_more()) {
  }
  return child_.wait_for_exit();
}

bool LoggedProgram::read_more() {
  if (!wait_readable(pipe_.read_end.get(), kWaitLimit)) return false;
  std::array<char, kReadBufferBytes> bytes;
  const ssize_t count = read(pipe_.read_end.get(), bytes.data(), bytes.size());
  if (count <= 0) return false;
  log_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

}  // namespace asterdrift::test_support
