// Maps files, or anonymous memory where a file cannot be used.
#include "node/memory/shared_memory.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <new>

namespace asterdrift::node::memory {
namespace {

// Reserves the space of the whole file: an access to a mapped page without space would end the process.
bool reserve_space(int file, std::size_t bytes) {
  int error = 0;
  do {
    error = ::posix_fallocate(file, 0, static_cast<off_t>(bytes));
  } while (error == EINTR);
  return error == 0;
}

// Returns MAP_FAILED if the file cannot be used.
void* map_file(const std::string& path, std::size_t bytes) {
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK, 0600);
  if (file < 0) return MAP_FAILED;
  void* data = MAP_FAILED;
  if (is_own_regular_file(file) && reserve_space(file, bytes)) {
    data = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  }
  ::close(file);
  return data;
}

}  // namespace

SharedMemory::SharedMemory(const std::string& path, std::size_t bytes) : bytes_(bytes) {
  data_ = path.empty() ? MAP_FAILED : map_file(path, bytes);
  is_shared_ = data_ != MAP_FAILED;
  if (is_shared_) return;
  data_ = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (data_ == MAP_FAILED) throw std::bad_alloc();
}

SharedMemory::~SharedMemory() { ::munmap(data_, bytes_); }

bool is_own_regular_file(int file) {
  struct stat status {};
  return ::fstat(file, &status) == 0 && S_ISREG(status.st_mode) && status.st_uid == ::geteuid();
}

}  // namespace asterdrift::node::memory
