// Stand-ins that serve on a port, each in its own child process.
#include "scale/stand_ins/server_process.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <cerrno>
#include <chrono>
#include <string>
#include <system_error>

#include "scale/measurement/process_usage.h"
#include "scale/stand_ins/forwarding_proxy.h"
#include "scale/stand_ins/stand_in_server.h"
#include "support/wait_until.h"

namespace asterdrift::scale {
namespace {

constexpr std::chrono::seconds kStartLimit{10};

void write_port(int descriptor, int port) {
  if (write(descriptor, &port, sizeof port) != sizeof port) {
    throw std::system_error(errno, std::generic_category(), "announce port " + std::to_string(port));
  }
}

}  // namespace

ServerProcess::Pipe::Pipe() {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "create a pipe for a port");
  }
  read_end = test_support::FileDescriptor(ends[0]);
  write_end = test_support::FileDescriptor(ends[1]);
}

ServerProcess::ServerProcess(const ServeFunction& serve)
    : child_([&] { serve([&](int port) { write_port(pipe_.write_end.get(), port); }); }),
      port_(receive_port()) {}

int ServerProcess::receive_port() {
  pipe_.write_end.close();
  int port = 0;
  if (!test_support::wait_readable(pipe_.read_end.get(), kStartLimit)) {
    throw test_support::TimeoutError("the port of a stand-in's process", kStartLimit);
  }
  if (read(pipe_.read_end.get(), &port, sizeof port) != sizeof port) {
    throw ServerProcessError("process " + std::to_string(pid()) + " ended before it announced a port");
  }
  pipe_.read_end.close();
  return port;
}

ServerProcess start_stand_in_server(Seconds response_delay) {
  return ServerProcess([=](const ServerProcess::AnnouncePort& announce_port) {
    raise_descriptor_limit();
    boost::asio::io_context io(1);
    StandInServer server(io, response_delay);
    announce_port(server.port());
    io.run();
  });
}

ServerProcess start_forwarding_proxy(int server_port) {
  return ServerProcess([=](const ServerProcess::AnnouncePort& announce_port) {
    raise_descriptor_limit();
    boost::asio::io_context io(1);
    ForwardingProxy proxy(io, server_port);
    announce_port(proxy.port());
    io.run();
  });
}

}  // namespace asterdrift::scale
