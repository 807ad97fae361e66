// The stand-in discovery in a process of its own, and the commands that it carries out.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

#include "scale/stand_ins/discovery_connection.h"
#include "scale/stand_ins/server_process.h"
#include "support/file_descriptor.h"

namespace asterdrift::scale {

// All commands throw std::system_error where the process has ended.
class DiscoveryProcess {
 public:
  DiscoveryProcess(std::size_t endpoints, int endpoint_port);

  int port() const { return process_.port(); }
  void set_mode(DiscoveryMode mode);
  // Returns when the command arrived there, in s on the steady clock; the change is sent after that.
  double set_draining(std::size_t index, bool draining);
  void set_change_rate(double changes_per_second);
  DiscoveryCounts counts();

 private:
  struct SocketPair {
    SocketPair();
    test_support::FileDescriptor here, in_child;
  };
  struct Command;
  struct Reply;
  class CommandServer;
  Reply send_command(const Command& command) const;

  SocketPair sockets_;
  ServerProcess process_;
};

}  // namespace asterdrift::scale
