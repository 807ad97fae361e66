// Stand-ins for the clients, servers, discovery and platform of one small deployment, on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline double now() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// The record of a run: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) {
      close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  ~Fd() { close(); }
  int get() const { return fd_; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
};

inline sockaddr_in address(const std::string& host, int port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &result.sin_addr);
  return result;
}

inline int port_of(int fd) {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

// receive_buffer: the size of the receive buffer of the connections; 0: the system's default.
inline Fd listen_on(const std::string& host, int receive_buffer = 0) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int one = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (receive_buffer > 0) setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  const sockaddr_in any = address(host, 0);
  if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0 || listen(fd.get(), 1024) != 0)
    throw std::runtime_error("cannot listen on " + host);
  return fd;
}

inline int free_port(const std::string& host) { return port_of(listen_on(host).get()); }

// A blocking connection with deadlines.
class Connection {
 public:
  Connection() = default;
  explicit Connection(Fd fd) : fd_(std::move(fd)) { set_no_delay(); }

  bool connect(const std::string& host, int port, int receive_buffer = 0) {
    fd_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receive_buffer > 0)
      setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in target = address(host, port);
    input_.clear();
    if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
      fd_.close();
      return false;
    }
    set_no_delay();
    return true;
  }
  bool is_open() const { return fd_.get() >= 0; }
  int fd() const { return fd_.get(); }
  void close() { fd_.close(); }
  void reset() {
    const linger now_closed{1, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now_closed, sizeof now_closed);
    fd_.close();
  }

  bool send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size = ::send(fd_.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size < 0 && errno == EINTR) continue;
      if (size <= 0) return false;
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }

  enum class Read { kBytes, kEnd, kReset, kTimeout };
  // Appends bytes to input() until `until` (see now()).
  Read read_more(double until, std::size_t max_bytes = 65536) {
    pollfd readable{fd_.get(), POLLIN, 0};
    const int wait = std::max(0, static_cast<int>((until - now()) * 1000 + 0.999));
    if (::poll(&readable, 1, wait) <= 0) return Read::kTimeout;
    std::vector<char> buffer(max_bytes);
    const ssize_t size = ::recv(fd_.get(), buffer.data(), buffer.size(), 0);
    if (size == 0) return Read::kEnd;
    if (size < 0) return Read::kReset;
    input_.append(buffer.data(), static_cast<std::size_t>(size));
    return Read::kBytes;
  }
  std::string& input() { return input_; }
  // How many sent bytes the peer's system has not acknowledged.
  int unacknowledged() const {
    int bytes = 0;
    ::ioctl(fd_.get(), SIOCOUTQ, &bytes);
    return bytes;
  }

 private:
  void set_no_delay() {
    const int one = 1;
    setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  Fd fd_;
  std::string input_;
};

struct Message {
  std::string first_line, head, body;
  // The value of a header; empty if there is none. `name` in lower case.
  std::string header(const std::string& name) const {
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const std::size_t at = lower.find("\r\n" + name + ":");
    if (at == std::string::npos) return {};
    std::size_t begin = at + name.size() + 3;
    const std::size_t end = head.find("\r\n", begin);
    while (begin < end && head[begin] == ' ') ++begin;
    return head.substr(begin, end - begin);
  }
  int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
};

enum class Result { kMessage, kEnd, kReset, kTimeout, kTruncated };

// Reads one HTTP message with a Content-Length, chunks or no body.
inline Result read_message(Connection& connection, double until, Message& message) {
  std::string& input = connection.input();
  const auto failed = [&](Connection::Read read, bool begun) {
    if (read == Connection::Read::kTimeout) return Result::kTimeout;
    if (begun) return Result::kTruncated;
    return read == Connection::Read::kEnd ? Result::kEnd : Result::kReset;
  };
  std::size_t head_end;
  while ((head_end = input.find("\r\n\r\n")) == std::string::npos) {
    const auto read = connection.read_more(until);
    if (read != Connection::Read::kBytes) return failed(read, !input.empty());
  }
  message = {};
  message.first_line = input.substr(0, input.find("\r\n"));
  message.head = input.substr(0, head_end + 2);
  input.erase(0, head_end + 4);
  const auto need = [&](std::size_t bytes) {
    while (input.size() < bytes) {
      const auto read = connection.read_more(until);
      if (read != Connection::Read::kBytes) return failed(read, true);
    }
    return Result::kMessage;
  };
  if (message.header("transfer-encoding") == "chunked") {
    for (;;) {
      std::size_t line_end;
      while ((line_end = input.find("\r\n")) == std::string::npos) {
        const auto read = connection.read_more(until);
        if (read != Connection::Read::kBytes) return failed(read, true);
      }
      const std::size_t size = std::strtoul(input.c_str(), nullptr, 16);
      if (const Result result = need(line_end + 2 + size + 2); result != Result::kMessage) return result;
      message.body += input.substr(line_end + 2, size);
      input.erase(0, line_end + 2 + size + 2);
      if (size == 0) return Result::kMessage;
    }
  }
  const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
  if (const Result result = need(length); result != Result::kMessage) return result;
  message.body = input.substr(0, length);
  input.erase(0, length);
  return Result::kMessage;
}

// Accepts connections, and runs `serve` for each in a thread of its own. Lives as long as the process.
inline int start_acceptor(const std::string& host, std::function<void(Connection&)> serve,
                          int receive_buffer = 0) {
  auto listener = std::make_shared<Fd>(listen_on(host, receive_buffer));
  const int port = port_of(listener->get());
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      const int fd = ::accept4(listener->get(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([serve, fd] {
        Connection connection{Fd(fd)};
        serve(connection);
      }).detach();
    }
  }).detach();
  return port;
}

// A server in a process of its own, so that signals can stop it. To be started before any thread. `serve`
// runs for each connection.
class ServerProcess {
 public:
  ServerProcess(const std::string& host, std::function<void(Connection&)> serve) {
    int channel[2];
    if (::pipe2(channel, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int port = start_acceptor(host, std::move(serve));
      if (::write(channel[1], &port, sizeof port) != sizeof port) ::_exit(1);
      for (;;) ::pause();
    }
    if (::read(channel[0], &port_, sizeof port_) != sizeof port_) throw std::runtime_error("no server");
    ::close(channel[0]);
    ::close(channel[1]);
  }
  ServerProcess(const ServerProcess&) = delete;
  ~ServerProcess() { end(); }
  int port() const { return port_; }
  void stop() { ::kill(pid_, SIGSTOP); }
  void resume() { ::kill(pid_, SIGCONT); }
  void end() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  pid_t pid_ = -1;
  int port_ = 0;
};

// Discovery's agent: a snapshot at once, then an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(const std::string& host) : host_(host) {
    port_ = start_acceptor(host, [this](Connection& connection) { serve(connection); });
  }
  std::string address() const { return host_ + ":" + std::to_string(port_); }
  void set_list(const std::string& list) {
    const std::lock_guard lock(mutex_);
    list_ = list;
  }
  std::string list() {
    const std::lock_guard lock(mutex_);
    return list_;
  }

 private:
  void serve(Connection& connection) {
    Message request;
    if (read_message(connection, now() + 5, request) != Result::kMessage) return;
    const auto chunk = [](const std::string& text) {
      std::ostringstream out;
      out << std::hex << text.size() << "\r\n" << text << "\r\n";
      return out.str();
    };
    bool open = connection.send(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        chunk(list() + "\n"));
    while (open) {
      if (connection.read_more(now() + 2) != Connection::Read::kTimeout) return;
      open = connection.send(chunk("\n"));
    }
  }

  const std::string host_;
  int port_ = 0;
  std::mutex mutex_;
  std::string list_;
};

// One process of the project, started with the command of the deploy file.
class Node {
 public:
  Node(std::string root, std::string folder, std::string host)
      : root_(std::move(root)), folder_(std::move(folder)), host_(std::move(host)) {}
  ~Node() { kill(); }

  std::string root() const { return root_; }
  const std::string& host() const { return host_; }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }

  static std::string run_command(const std::string& root) {
    std::ifstream file(root + "/deploy/balancer.toml");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
    }
    throw std::runtime_error("deploy/balancer.toml has no run command");
  }

  // fields: the fields of the configuration without name, listen, discovery and seed.
  void start(const std::string& discovery, const std::string& fields) {
    port_ = free_port(host_);
    const std::string listen = host_ + ":" + std::to_string(port_);
    ::mkdir(folder_.c_str(), 0700);
    ::mkdir((folder_ + "/tmp").c_str(), 0700);
    std::ofstream(folder_ + "/config.json")
        << R"({"name":"n1","listen":")" << listen << R"(","discovery":")" << discovery
        << R"(","seed":"8c1f30d27a5be964",)" << fields << "}";
    const std::string command = run_command(root_);
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the node ends with this process, however this process ends
    const std::string log = folder_ + "/node.log";
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    if (::chdir(root_.c_str()) != 0) ::_exit(127);
    ::setenv("GW_NAME", "n1", 1);
    ::setenv("GW_LISTEN", listen.c_str(), 1);
    ::setenv("GW_DISCOVERY", discovery.c_str(), 1);
    ::setenv("GW_CONFIG", (folder_ + "/config.json").c_str(), 1);
    ::setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }

  bool wait_ready(double seconds) {
    for (const double until = now() + seconds; now() < until; sleep_for(0.05)) {
      Connection connection;
      Message answer;
      if (!connection.connect(host_, port_)) continue;
      connection.send("GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n");
      if (read_message(connection, now() + 1, answer) == Result::kMessage && answer.status() == 200)
        return true;
    }
    return false;
  }

  // Whether the process is running. `status` of waitpid() if not.
  bool is_running() {
    if (pid_ <= 0) return false;
    if (::waitpid(pid_, &status_, WNOHANG) == 0) return true;
    pid_ = -1;
    return false;
  }
  int status() const { return status_; }
  void signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void kill() {
    if (!is_running()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  // A value in kB of /proc/PID/status, such as VmRSS.
  long memory_kb(const std::string& name) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind(name + ":", 0) == 0) return std::strtol(line.c_str() + name.size() + 1, nullptr, 10);
    }
    return 0;
  }
  std::string log() const {
    std::ifstream file(folder_ + "/node.log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  std::string root_, folder_, host_;
  int port_ = 0;
  pid_t pid_ = -1;
  int status_ = 0;
};

// The settings of the small deployment bc-tractor-data, as PROTOCOL and WIRE show them, for one node of the
// first tier.
inline std::string tractor_settings() {
  return R"("settings":{"azs":["kamloops"],"bounds":{"cancel":true,"dialTimeout":0.1,"idleClose":15.0,)"
         R"("maxAttempts":5,"maxOpen":20000,"maxRetryAfter":2.0,"peers":false,"probes":true,"retryAfter":true,)"
         R"("secondCopies":true,"streamsPerConn":1},"categories":[)"
         R"({"aim":0.86,"dedupWindow":2.5,"effect":"keyed","gain":10.0,"giveUp":2.2,"group":"cell",)"
         R"("lateWorth":0.0,"name":"field-report","stream":false},)"
         R"({"aim":1.9,"effect":"unsafe","gain":5.0,"giveUp":4.7,"group":"all","lateWorth":0.0,)"
         R"("name":"work-order","stream":false}],"clientHabits":{"marksRetry":true},)"
         R"("hostTypes":["intake-std"],"granularity":0.005,"overShareWorth":0.1,"peersTotal":1,"position":0,)"
         R"("realms":[{"allowancePerS":244.0,"name":"okanagan-growers","share":0.66},)"
         R"({"allowancePerS":126.0,"name":"cariboo-ranchers","share":0.34}],"registryMode":"automatic",)"
         R"("rules":{"answerSlack":0.02,"askWithin":10.0,"drainGrace":0.3,"rampTime":22.0,)"
         R"("startCapacity":0.14,"tipAfter":2.0,"tipMultiple":3.0},"serviceType":"chain","stage":0,)"
         R"("stages":["intake","records","ledger"],"weights":"nominal","worthBy":"request","zone":0})";
}

inline std::string host_entry(int number, const std::string& dial, int cell, const std::string& health) {
  std::ostringstream out;
  out << R"({"host":"s-)" << number << R"(","dial":")" << dial
      << R"(","site":"kamloops","class":"intake-std",)"
      << R"("block":)" << cell << R"(,"health":")" << health << R"(","share":1.0,"born_ms":0})";
  return out.str();
}

inline std::string whole_list(int version, const std::vector<std::string>& entries) {
  std::string list = R"({"seq":)" + std::to_string(version) + R"(,"whole":true,"hosts":[)";
  for (std::size_t i = 0; i < entries.size(); ++i) list += (i ? "," : "") + entries[i];
  return list + "]}";
}

struct Setup {
  std::string root;    // of the repository
  std::string folder;  // of the case
  std::string temporary;
  bool trouble = true;
};

// Arguments: ROOT FOLDER TEMPORARY. The environment variable TROUBLE=0 leaves out the disruption.
inline Setup setup(int argc, char** argv) {
  if (argc != 4) throw std::runtime_error("usage: PROGRAM ROOT FOLDER TEMPORARY");
  ::signal(SIGPIPE, SIG_IGN);
  now();
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}

enum ExitCode { kHeld = 0, kBroken = 1, kCannotRun = 2 };

}  // namespace review
