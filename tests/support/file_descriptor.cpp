// Owns file descriptors, and waits until a file descriptor is readable.
#include "support/file_descriptor.h"

#include <poll.h>
#include <unistd.h>

#include <utility>

namespace asterdrift::test_support {

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this != &other) {
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

FileDescriptor::~FileDescriptor() { close(); }

void FileDescriptor::close() {
  if (is_open()) ::close(descriptor_);
  descriptor_ = -1;
}

bool wait_readable(int descriptor, std::chrono::milliseconds timeout) {
  pollfd request{descriptor, POLLIN, 0};
  return poll(&request, 1, static_cast<int>(timeout.count())) > 0;
}

}  // namespace asterdrift::test_support
