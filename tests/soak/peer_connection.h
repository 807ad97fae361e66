// One end of a connection in a soak run: tells how the other side has ended it, and when bytes arrived.
#pragma once

#include <string>

#include "support/file_descriptor.h"

namespace asterdrift::soak {

class PeerConnection {
 public:
  // kReset: the connection ended, and the other side had not read everything. kClosed: it had.
  enum class Read { kBytes, kClosed, kReset, kTimeout };

  PeerConnection() = default;
  explicit PeerConnection(test_support::FileDescriptor descriptor);

  // Not open where the connection is refused.
  static PeerConnection connect_to(int port);

  bool is_open() const { return descriptor_.is_open(); }
  double connected_at() const { return connected_at_; }
  // Whether the other side's end of the connection has arrived.
  bool has_ended() const;
  // Returns whether the system has taken all of it.
  bool send(const std::string& text) const;
  // Waits until `deadline`, on the steady clock, for further bytes, which it appends to received().
  Read read_until(double deadline);
  std::string& received() { return received_; }
  // When the newest bytes arrived at this machine, whether or not they were read then.
  double received_at() const { return received_at_; }
  void close() { descriptor_.close(); }
  void reset();

 private:
  test_support::FileDescriptor descriptor_;
  double connected_at_ = 0, received_at_ = 0;
  std::string received_;
};

}  // namespace asterdrift::soak
