// Stand-ins that serve on a port, each in a process of its own.
#pragma once

#include <sys/types.h>

#include <functional>
#include <stdexcept>

#include "support/child_process.h"
#include "support/file_descriptor.h"

namespace asterdrift::scale {

// A stand-in's process has ended before it served.
class ServerProcessError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A child process that serves on a port of its own choice, until this object ends.
class ServerProcess {
 public:
  using AnnouncePort = std::function<void(int port)>;
  // Runs in the child: announces its port once, and serves.
  using Serve = std::function<void(const AnnouncePort& announce_port)>;

  // Throws test_support::TimeoutError or ServerProcessError where the child announces no port.
  explicit ServerProcess(const Serve& serve);
  int port() const { return port_; }
  pid_t pid() const { return child_.pid(); }

 private:
  // From the child to this process.
  struct Pipe {
    Pipe();
    test_support::FileDescriptor read_end, write_end;
  };
  int receive_port();

  Pipe pipe_;
  test_support::ChildProcess child_;
  int port_;
};

// A StandInServer in a process of its own.
ServerProcess start_stand_in_server(double response_delay_s);

// A ForwardingProxy in a process of its own.
ServerProcess start_forwarding_proxy(int server_port);

}  // namespace asterdrift::scale
