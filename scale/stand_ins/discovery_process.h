// The stand-in discovery in a child process, controlled by commands over a socket pair.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

#include "asterdrift/seconds.h"
#include "scale/stand_ins/discovery_connection.h"
#include "scale/stand_ins/server_process.h"
#include "support/file_descriptor.h"

namespace asterdrift::scale {

// All commands throw std::system_error if the child process has ended.
class DiscoveryProcess {
 public:
  DiscoveryProcess(std::size_t endpoints, int endpoint_port);

  int port() const { return process_.port(); }
  void set_mode(DiscoveryMode mode);
  // Returns the time on the steady clock at which the child received the command; the child sends the change
  // to the watches after that.
  Seconds set_draining(std::size_t index, bool draining);
  void set_change_rate(double changes_per_second);
  DiscoveryCounts counts();

 private:
  struct SocketPair {
    SocketPair();
    test_support::FileDescriptor parent_end, child_end;
  };
  struct Command;
  struct Reply;
  class CommandServer;
  Reply send_command(const Command& command) const;

  SocketPair sockets_;
  ServerProcess process_;
};

}  // namespace asterdrift::scale
