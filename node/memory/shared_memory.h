// Memory that several processes of one node share through a file.
#pragma once

#include <cstddef>
#include <string>

namespace asterdrift::node::memory {

// A block of memory whose bytes are 0 at first. It is mapped from a file if that is possible; all processes
// that map the file see the same bytes, also those that earlier processes have written. Otherwise the block
// belongs to this process alone.
class SharedMemory {
 public:
  // path: the file, which is created if it does not exist; empty if no memory is to be shared. Throws
  // std::bad_alloc if there is no memory either.
  SharedMemory(const std::string& path, std::size_t bytes);
  ~SharedMemory();
  SharedMemory(const SharedMemory&) = delete;
  SharedMemory& operator=(const SharedMemory&) = delete;

  // Aligned to a page.
  void* data() const { return data_; }
  bool is_shared() const { return is_shared_; }

 private:
  const std::size_t bytes_;
  bool is_shared_ = false;
  void* data_ = nullptr;
};

// Whether an open file is a regular file of this process's user.
bool is_own_regular_file(int file);

}  // namespace asterdrift::node::memory
