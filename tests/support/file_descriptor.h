// An owned file descriptor, and waiting until one is readable.
#pragma once

#include <chrono>

namespace asterdrift::test_support {

// Owns a file descriptor and closes it at the end of its lifetime. -1: none.
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

// Whether the descriptor has data, a connection to accept, or its end to report, within `timeout`.
bool wait_readable(int descriptor, std::chrono::milliseconds timeout);

}  // namespace asterdrift::test_support
