// The stand-in discovery in a child process, controlled by commands over a socket pair.
#include "scale/stand_ins/discovery_process.h"

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cerrno>
#include <string>
#include <system_error>

#include "scale/measurement/process_usage.h"
#include "scale/stand_ins/stand_in_discovery.h"
#include "support/wait_until.h"

namespace asterdrift::scale {

struct DiscoveryProcess::Command {
  enum class Operation { kSetMode, kSetDraining, kSetChangeRate, kReadCounts };
  Operation operation = Operation::kReadCounts;
  DiscoveryMode mode{};           // new mode for kSetMode
  std::size_t index = 0;          // index of the server for kSetDraining
  bool draining = false;          // whether the server drains, for kSetDraining
  double changes_per_second = 0;  // new change rate for kSetChangeRate
};

struct DiscoveryProcess::Reply {
  Seconds received_at = 0;  // when the command arrived, on the steady clock
  DiscoveryCounts counts;
};

// Receives commands in the child process, executes them, and replies.
class DiscoveryProcess::CommandServer {
 public:
  CommandServer(boost::asio::io_context& io, StandInDiscovery& discovery, int socket)
      : discovery_(discovery), socket_(io, socket) {
    await_command();
  }

 private:
  using Operation = Command::Operation;

  void await_command() {
    socket_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [this](const boost::system::error_code& error) {
                         if (!error && handle_command()) await_command();
                       });
  }

  // Returns false if the parent process has closed its end of the socket.
  bool handle_command() {
    Command command;
    if (recv(socket_.native_handle(), &command, sizeof command, 0) != sizeof command) return false;
    const Seconds received_at = test_support::steady_seconds();
    // Replies before it sends the change: the commanding process is blocked until the reply arrives, and the
    // effects of the change on nodes in that process must not wait for the reply.
    if (command.operation == Operation::kSetDraining) {
      if (!reply(received_at)) return false;
      discovery_.set_draining(command.index, command.draining);
      return true;
    }
    if (command.operation == Operation::kSetMode) discovery_.set_mode(command.mode);
    if (command.operation == Operation::kSetChangeRate) {
      discovery_.set_change_rate(command.changes_per_second);
    }
    return reply(received_at);
  }

  bool reply(double received_at) {
    const Reply reply{received_at, discovery_.counts()};
    return ::send(socket_.native_handle(), &reply, sizeof reply, MSG_NOSIGNAL) == sizeof reply;
  }

  StandInDiscovery& discovery_;
  boost::asio::posix::stream_descriptor socket_;
};

DiscoveryProcess::SocketPair::SocketPair() {
  int ends[2];
  if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, ends) != 0) {
    throw std::system_error(errno, std::generic_category(), "create sockets for the stand-in discovery");
  }
  parent_end = test_support::FileDescriptor(ends[0]);
  child_end = test_support::FileDescriptor(ends[1]);
}

DiscoveryProcess::DiscoveryProcess(std::size_t endpoints, int endpoint_port)
    : process_([&](const ServerProcess::AnnouncePort& announce_port) {
        raise_descriptor_limit();
        boost::asio::io_context io(1);
        StandInDiscovery discovery(io, endpoints, endpoint_port);
        const CommandServer commands(io, discovery, sockets_.child_end.get());
        announce_port(discovery.port());
        io.run();
      }) {
  sockets_.child_end.close();
}

DiscoveryProcess::Reply DiscoveryProcess::send_command(const Command& command) const {
  const std::string operation = "command to the stand-in discovery on port " + std::to_string(port());
  const int socket = sockets_.parent_end.get();
  if (send(socket, &command, sizeof command, MSG_NOSIGNAL) != sizeof command) {
    throw std::system_error(errno, std::generic_category(), operation);
  }
  Reply reply;
  const ssize_t size = recv(socket, &reply, sizeof reply, 0);
  if (size == sizeof reply) return reply;
  throw std::system_error(size < 0 ? errno : ECONNRESET, std::generic_category(), operation);
}

void DiscoveryProcess::set_mode(DiscoveryMode mode) {
  Command command{Command::Operation::kSetMode};
  command.mode = mode;
  send_command(command);
}

Seconds DiscoveryProcess::set_draining(std::size_t index, bool draining) {
  Command command{Command::Operation::kSetDraining};
  command.index = index;
  command.draining = draining;
  return send_command(command).received_at;
}

void DiscoveryProcess::set_change_rate(double changes_per_second) {
  Command command{Command::Operation::kSetChangeRate};
  command.changes_per_second = changes_per_second;
  send_command(command);
}

DiscoveryCounts DiscoveryProcess::counts() { return send_command({}).counts; }

}  // namespace asterdrift::scale
