// The processes that run as one node at the same time, as during a replacement.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace asterdrift::node::process {

// The processes detect each other by locks on bytes of one file in $TMPDIR. The operating system releases a
// process's locks when the process ends.
class ProcessGroup {
 public:
  // A process publishes each state until it withdraws the state or ends. The order is that of the bytes in
  // the lock file, which other versions of this program read.
  enum class State {
    kAlive,          // published from the start
    kSharingLimits,  // has split the node's limits with the other processes
    kServing         // accepts new connections and can serve them
  };

  // The address on which a node listens identifies the node. Without a directory, or if the lock file cannot
  // be used, this process neither detects other processes nor is detected by them.
  ProcessGroup(const char* directory, const boost::asio::ip::tcp::endpoint& listen_address);
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  // The path of the file in which the node's processes remember requests; empty if no other process can
  // detect this one.
  const std::string& request_history_path() const { return request_history_path_; }
  // Whether other processes can detect this one.
  bool is_detectable() const { return file_ >= 0; }
  // Publishes a state, or withdraws it if is_active is false.
  void publish(State state, bool is_active);
  // How many other processes publish a state now.
  std::size_t count_others(State state) const;

  // The index of the only other process in the order in which the two processes began to listen; none if
  // there is no other process, or more than one.
  std::optional<std::uint32_t> listening_index_of_other() const;

 private:
  // Publishes kAlive in the first free slot of the file. Returns whether a slot was free.
  bool take_slot(int file);
  // The other processes that are alive now.
  std::vector<pid_t> others() const;

  std::string request_history_path_;
  int file_ = -1;  // descriptor of the lock file
  // The index of the slot that this process has taken in the lock file. A slot has a byte for each state.
  int slot_ = 0;
  std::vector<pid_t> older_processes_;  // the other processes that were alive when this one started
};

}  // namespace asterdrift::node::process
