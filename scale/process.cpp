#include "scale/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "scale/stand_in_server.h"

namespace asterdrift::scale {
namespace {

constexpr double kStartLimit = 10;  // s, for a child to tell its port

// Runs `work` in a child, which first tells a number.
std::unique_ptr<Child> start_child(const std::function<void(const std::function<void(int)>&)>& work,
                                   int& told) {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  auto child = std::make_unique<Child>([&] {
    work([&](int number) {
      if (write(ends[1], &number, sizeof number) != sizeof number) _exit(1);
    });
  });
  close(ends[1]);
  pollfd p{ends[0], POLLIN, 0};
  const bool came = poll(&p, 1, static_cast<int>(kStartLimit * 1000)) > 0 &&
                    read(ends[0], &told, sizeof told) == sizeof told;
  close(ends[0]);
  if (!came) throw std::runtime_error("a child did not start");
  return child;
}

std::string text_of(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

double field(const std::string& text, const std::string& name) {
  const std::size_t at = text.find("\n" + name + ":");
  return at == std::string::npos ? 0 : std::strtod(text.c_str() + at + name.size() + 2, nullptr);
}

}  // namespace

double seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::size_t raise_descriptors() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

Usage usage_of(pid_t process) {
  const std::string folder = "/proc/" + std::to_string(process);
  const std::string status = text_of(folder + "/status"), stat = text_of(folder + "/stat");
  Usage out;
  out.resident_mb = field(status, "VmRSS") / 1024;
  out.peak_mb = field(status, "VmHWM") / 1024;
  out.voluntary = static_cast<std::size_t>(field(status, "voluntary_ctxt_switches"));
  std::istringstream schedule(text_of(folder + "/schedstat"));
  if (double ns = 0; schedule >> ns && ns > 0) {
    out.cpu = ns / 1e9;
  } else if (const std::size_t name = stat.rfind(')'); name != std::string::npos) {
    std::istringstream rest(stat.substr(name + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) rest >> skipped;
    double user = 0, system = 0;
    rest >> user >> system;
    out.cpu = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  return out;
}

Child::Child(const std::function<void()>& work) {
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("no process");
  if (pid_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(1);
  try {
    work();
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "a child ends: %s\n", problem.what());
  }
  _exit(1);
}

Child::~Child() {
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

ServerProcess::ServerProcess(double delay_s) {
  child_ = start_child(
      [=](const auto& tell) {
        raise_descriptors();
        boost::asio::io_context io(1);
        StandInServer server(io, delay_s);
        tell(server.port());
        io.run();
      },
      port_);
}

PassThroughProcess::PassThroughProcess(int to_port) {
  child_ = start_child(
      [=](const auto& tell) {
        raise_descriptors();
        boost::asio::io_context io(1);
        PassThrough pass(io, to_port);
        tell(pass.port());
        io.run();
      },
      port_);
}

struct DiscoveryProcess::Command {
  enum class What { kMode, kDraining, kRate, kCounts } what = What::kCounts;
  DiscoveryMode mode{};
  std::size_t place = 0;
  bool draining = false;
  double rate = 0;
};

struct DiscoveryProcess::Reply {
  double at = 0;
  std::uint64_t seq = 0;
  DiscoveryCounts counts;
};

DiscoveryProcess::DiscoveryProcess(std::size_t servers, int dial_port) {
  int ends[2];
  if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, ends) != 0) throw std::runtime_error("no pair");
  socket_ = ends[0];
  child_ = start_child(
      [=](const auto& tell) {
        raise_descriptors();
        boost::asio::io_context io(1);
        StandInDiscovery discovery(io, servers, dial_port);
        boost::asio::posix::stream_descriptor commands(io, ends[1]);
        std::function<void()> await = [&] {
          commands.async_wait(
              boost::asio::posix::stream_descriptor::wait_read, [&](const boost::system::error_code& error) {
                Command command;
                if (error || recv(ends[1], &command, sizeof command, 0) != sizeof command) return;
                const double at = seconds();
                if (command.what == Command::What::kDraining) {  // told first: who asked has to act at once
                  const Reply reply{at, discovery.version() + 1, discovery.counts()};
                  if (send(ends[1], &reply, sizeof reply, MSG_NOSIGNAL) != sizeof reply) return;
                  discovery.set_draining(command.place, command.draining);
                  return await();
                }
                if (command.what == Command::What::kMode) discovery.set_mode(command.mode);
                if (command.what == Command::What::kRate) discovery.set_change_rate(command.rate);
                const Reply reply{at, discovery.version(), discovery.counts()};
                if (send(ends[1], &reply, sizeof reply, MSG_NOSIGNAL) != sizeof reply) return;
                await();
              });
        };
        await();
        tell(discovery.port());
        io.run();
      },
      port_);
  close(ends[1]);
}

DiscoveryProcess::~DiscoveryProcess() { close(socket_); }

DiscoveryProcess::Reply DiscoveryProcess::tell(const Command& command) const {
  Reply reply;
  if (send(socket_, &command, sizeof command, MSG_NOSIGNAL) != sizeof command ||
      recv(socket_, &reply, sizeof reply, 0) != sizeof reply)
    throw std::runtime_error("the stand-in discovery is gone");
  return reply;
}

void DiscoveryProcess::set_mode(DiscoveryMode mode) { tell({Command::What::kMode, mode, 0, false, 0}); }
double DiscoveryProcess::set_draining(std::size_t place, bool draining) {
  return tell({Command::What::kDraining, {}, place, draining, 0}).at;
}
void DiscoveryProcess::set_rate(double changes_per_s) {
  tell({Command::What::kRate, {}, 0, false, changes_per_s});
}
DiscoveryCounts DiscoveryProcess::counts() { return tell({}).counts; }
std::uint64_t DiscoveryProcess::seq() { return tell({}).seq; }

std::string config_text(const NodeSetup& setup) {
  std::ostringstream out;
  out << R"({"name":"n)" << setup.position << R"(","listen":"127.0.0.1:0","discovery":"127.0.0.1:)"
      << setup.discovery_port << R"(","seed":")" << std::hex << setup.seed << std::dec
      << R"(","limits":{"sockets":1024,"memory_mb":)" << setup.memory_mb << R"(},"settings":{"position":)"
      << setup.position << R"(,"peersTotal":)" << setup.copies << R"(,"stage":)" << setup.tier
      << R"(,"registryMode":")" << (setup.pushed ? "automatic" : "subscribe")
      << R"(","azs":["a","b","c"],"bounds":{"cancel":true,"maxAttempts":4,"retryAfter":true,)"
      << R"("maxRetryAfter":2.0,"dialTimeout":0.25,"idleClose":30},)"
      << R"("realms":[{"name":"acme","allowancePerS":)" << 10000 * setup.copies
      << R"(}],"rules":{"askWithin":6},"categories":[)"
      << R"({"name":"read","aim":2,"giveUp":5,"lateWorth":0.5,"effect":"safe"}]}})";
  return out.str();
}

RealNode::RealNode(const std::string& program, const NodeSetup& setup) {
  std::string pattern = (std::filesystem::temp_directory_path() / "scale_node_XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no folder for a node");
  folder_ = pattern;
  std::ofstream(folder_ + "/config.json") << config_text(setup);
  mkdir((folder_ + "/own").c_str(), 0700);
  child_ = std::make_unique<Child>([&] {
    const int log = open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, 1);
    dup2(log, 2);
    setenv("GW_CONFIG", (folder_ + "/config.json").c_str(), 1);
    setenv("TMPDIR", (folder_ + "/own").c_str(), 1);
    execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
  });
  const std::string words = "listening on 127.0.0.1:";
  for (const double from = seconds(); port_ == 0;) {
    const std::string text = log();
    const std::size_t at = text.find(words);
    if (at != std::string::npos && text.find('\n', at) != std::string::npos)
      port_ = std::atoi(text.c_str() + at + words.size());
    if (seconds() - from > kStartLimit) throw std::runtime_error("the node does not listen: " + text);
    usleep(2000);
  }
}

RealNode::~RealNode() {
  child_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string RealNode::log() const { return text_of(folder_ + "/log"); }

bool RealNode::ready() const {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port_));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const std::string ask = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  std::string answer(256, '\0');
  pollfd p{fd, POLLIN, 0};
  const bool told = connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
                    send(fd, ask.data(), ask.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(ask.size()) &&
                    poll(&p, 1, 1000) > 0 && recv(fd, answer.data(), answer.size(), 0) > 0;
  close(fd);
  return told && answer.find(" 200 ") < 16;
}

bool RealNode::ready_within(double s) const {
  for (const double from = seconds(); !ready();) {
    if (seconds() - from > s) return false;
    usleep(5000);
  }
  return true;
}

}  // namespace asterdrift::scale
