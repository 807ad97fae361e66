#include "node/process/process_group.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>

#include "node/memory/shared_memory.h"

namespace asterdrift::node::process {
namespace {

// The prefix is the program's former name. It must not change: processes of older versions detect the node's
// other processes by their locks on the file of this name.
constexpr const char* kLockFilePrefix = "nettlestand-";
constexpr const char* kLockFileSuffix = ".lock";
// The number is the version of the format.
constexpr const char* kHistoryFilePrefix = "load-balancer-node-";
constexpr const char* kHistoryFileSuffix = ".requests-1";

// The lock file has a slot for each process, with a byte for each state.
constexpr int kMaxProcesses = 8;
constexpr int kStates = 3;

// Sets or queries a lock. Returns whether setting the lock has succeeded; for F_GETLK, whether another
// process holds a lock on the bytes.
bool lock(int file, short type, int first_byte, int bytes, int command) {
  struct flock request {};
  request.l_type = type;
  request.l_whence = SEEK_SET;
  request.l_start = first_byte;
  request.l_len = bytes;
  const int result = ::fcntl(file, command, &request);
  return result == 0 && (command != F_GETLK || request.l_type != F_UNLCK);
}

// The process that holds a lock on a byte; 0 if no process does.
pid_t lock_holder(int file, int byte) {
  struct flock request {};
  request.l_type = F_WRLCK;
  request.l_whence = SEEK_SET;
  request.l_start = byte;
  request.l_len = 1;
  const bool is_held = ::fcntl(file, F_GETLK, &request) == 0 && request.l_type != F_UNLCK;
  return is_held ? request.l_pid : 0;
}

int state_byte(int slot, ProcessGroup::State state) { return slot * kStates + static_cast<int>(state); }

// The path of a file of the node with this address.
std::string file_path(const char* directory, const char* prefix,
                      const boost::asio::ip::tcp::endpoint& address, const char* suffix) {
  return std::string(directory) + "/" + prefix + address.address().to_string() + "-" +
         std::to_string(address.port()) + suffix;
}

}  // namespace

ProcessGroup::ProcessGroup(const char* directory, const boost::asio::ip::tcp::endpoint& listen_address) {
  if (directory == nullptr || *directory == 0 || listen_address.port() == 0) return;
  const std::string path = file_path(directory, kLockFilePrefix, listen_address, kLockFileSuffix);
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK, 0600);
  if (file < 0) return;
  if (memory::is_own_regular_file(file) && take_slot(file)) {
    file_ = file;
    request_history_path_ = file_path(directory, kHistoryFilePrefix, listen_address, kHistoryFileSuffix);
    older_processes_ = others();
  } else {
    ::close(file);
  }
}

bool ProcessGroup::take_slot(int file) {
  for (slot_ = 0; slot_ < kMaxProcesses; ++slot_) {
    if (lock(file, F_WRLCK, state_byte(slot_, State::kAlive), 1, F_SETLK)) return true;
  }
  return false;
}

ProcessGroup::~ProcessGroup() {
  if (file_ >= 0) ::close(file_);
}

void ProcessGroup::publish(State state, bool is_active) {
  if (file_ >= 0) lock(file_, is_active ? F_WRLCK : F_UNLCK, state_byte(slot_, state), 1, F_SETLK);
}

std::size_t ProcessGroup::count_others(State state) const {
  std::size_t count = 0;
  // Usually there is no other process, which a single query shows.
  if (file_ < 0 || !lock(file_, F_WRLCK, 0, kMaxProcesses * kStates, F_GETLK)) return count;
  for (int slot = 0; slot < kMaxProcesses; ++slot) {
    if (slot != slot_ && lock(file_, F_WRLCK, state_byte(slot, state), 1, F_GETLK)) ++count;
  }
  return count;
}

std::vector<pid_t> ProcessGroup::others() const {
  std::vector<pid_t> processes;
  for (int slot = 0; file_ >= 0 && slot < kMaxProcesses; ++slot) {
    const pid_t holder = slot == slot_ ? 0 : lock_holder(file_, state_byte(slot, State::kAlive));
    if (holder > 0) processes.push_back(holder);
  }
  return processes;
}

std::optional<std::uint32_t> ProcessGroup::listening_index_of_other() const {
  const std::vector<pid_t> processes = others();
  if (processes.size() != 1) return std::nullopt;
  const bool is_older = std::ranges::find(older_processes_, processes.front()) != older_processes_.end();
  return is_older ? 0 : 1;
}

}  // namespace asterdrift::node::process
