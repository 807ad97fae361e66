// Owns file descriptors, and waits until a file descriptor is readable.
#pragma once

#include <chrono>

namespace asterdrift::test_support {

// Owns a file descriptor, which the destructor closes. The value is -1 if there is no descriptor.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  ~FileDescriptor();

  int get() const { return descriptor_; }
  bool is_open() const { return descriptor_ >= 0; }
  void close();

 private:
  int descriptor_ = -1;
};

// Waits until the descriptor has data, a connection to accept, or an end of the stream to report. Returns
// false if that does not happen within `timeout`.
bool wait_readable(int descriptor, std::chrono::milliseconds timeout);

}  // namespace asterdrift::test_support
