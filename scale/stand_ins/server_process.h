// Stand-ins that serve on a port, each in its own child process.
#pragma once

#include <sys/types.h>

#include <functional>
#include <stdexcept>

#include "asterdrift/seconds.h"
#include "support/child_process.h"
#include "support/file_descriptor.h"

namespace asterdrift::scale {

// Thrown when a stand-in's process ends before it announces its port.
class ServerProcessError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A child process that serves on a port that it chooses, until this object is destroyed.
class ServerProcess {
 public:
  using AnnouncePort = std::function<void(int port)>;
  // Runs in the child process: announces its port once, then serves.
  using ServeFunction = std::function<void(const AnnouncePort& announce_port)>;

  // Throws test_support::TimeoutError if the child does not announce a port in time, ServerProcessError if it
  // ends before that.
  explicit ServerProcess(const ServeFunction& serve);
  int port() const { return port_; }
  pid_t pid() const { return child_.pid(); }

 private:
  // Carries the announced port from the child to this process.
  struct Pipe {
    Pipe();
    test_support::FileDescriptor read_end, write_end;
  };
  int receive_port();

  Pipe pipe_;
  test_support::ChildProcess child_;
  int port_;
};

// Starts a StandInServer in a child process; a `response_delay` of 0 responds at once.
ServerProcess start_stand_in_server(Seconds response_delay);

// Starts a ForwardingProxy in a child process.
ServerProcess start_forwarding_proxy(int server_port);

}  // namespace asterdrift::scale
