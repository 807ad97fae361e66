// The processes that run as one node, as while it is being replaced.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace asterdrift::node::process {

// The processes see each other by locks on the bytes of one file in $TMPDIR. The operating system releases a
// process's locks when it ends.
class ProcessGroup {
 public:
  // A process publishes states until it withdraws them or ends. The order is that of the bytes in the file,
  // which other versions of this program read.
  enum class State {
    kAlive,          // published from the start
    kSharingLimits,  // applies its fraction of the node's limits
    kServing         // takes new connections and can serve them
  };

  // A node is identified by the address on which it listens. Without a directory, or where the file cannot be
  // used, no process is seen, and this one is on its own.
  ProcessGroup(const char* directory, const boost::asio::ip::tcp::endpoint& listen_address);
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  // Whether other processes can see this one.
  bool is_visible() const { return file_ >= 0; }
  void publish(State state, bool holds);
  // How many other processes publish a state now.
  std::size_t count_others(State state) const;

  // The index of the only other process in the order in which they began to listen; empty where there are
  // several others, or none.
  std::optional<std::uint32_t> listening_index_of_other() const;

 private:
  // Publishes kAlive in the first free slot. Returns whether there is one.
  bool take_slot(int file);
  // The other processes that are there now.
  std::vector<pid_t> others() const;

  int file_ = -1;
  int slot_ = 0;              // of this process in the file
  std::vector<pid_t> older_;  // the other processes that were there when this one started
};

}  // namespace asterdrift::node::process
