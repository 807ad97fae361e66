// One end of a TCP connection in a soak run. Reports how the other side ended the connection, and when bytes
// arrived.
#pragma once

#include <string>

#include "asterdrift/seconds.h"
#include "support/file_descriptor.h"

namespace asterdrift::soak {

class PeerConnection {
 public:
  // kClosed: the other side ended the connection after it had read all bytes that were sent. kReset: the
  // other side ended the connection without reading all of them.
  enum class Read { kBytes, kClosed, kReset, kTimeout };

  PeerConnection() = default;
  explicit PeerConnection(test_support::FileDescriptor descriptor);

  // Returns a connection that is not open if the port refuses connections.
  static PeerConnection connect_to(int port);

  bool is_open() const { return descriptor_.is_open(); }
  Seconds connected_at() const { return connected_at_; }
  // Whether the other side has closed or reset the connection.
  bool has_ended() const;
  // Returns whether the kernel has accepted the whole text.
  bool send(const std::string& text) const;
  // Waits for further bytes until the deadline, which is on the steady clock. Appends the bytes to
  // received().
  Read read_until(Seconds deadline);
  std::string& received() { return received_; }
  // When the last bytes arrived in the kernel; they may have been read later.
  Seconds received_at() const { return received_at_; }
  void close() { descriptor_.close(); }
  // Closes the connection with a TCP reset.
  void reset();

 private:
  test_support::FileDescriptor descriptor_;
  Seconds connected_at_ = 0, received_at_ = 0;
  std::string received_;
};

}  // namespace asterdrift::soak
