// TCP sockets on the loopback address: connections, listening sockets and reserved ports.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "support/file_descriptor.h"
#include "support/wait_until.h"

namespace asterdrift::test_support {

// One end of a TCP connection. A read waits at most kWaitLimit for each next part of the data, and then
// returns the data that has arrived.
class TestSocket {
 public:
  TestSocket() = default;
  explicit TestSocket(FileDescriptor descriptor);

  // Lets the system choose the receive buffer, and let it grow.
  static constexpr int kSystemReceiveBuffer = 0;
  // Connects to a port. Throws std::system_error, whose text has the address, if the connection fails.
  static TestSocket connect_to(int port, int receive_buffer_bytes = kSystemReceiveBuffer);

  // Limits how many sent bytes the system holds for this side.
  void limit_send_buffer(int bytes) const;

  int local_port() const;
  bool is_open() const { return descriptor_.is_open(); }
  // Gives up ownership of the descriptor. Must not be called after a read, because buffered data would be
  // lost.
  FileDescriptor release() { return std::move(descriptor_); }

  // Sends `text`, and waits while the other side accepts no data. Ignores a broken connection.
  void send(const std::string& text) const;
  // Sends `text` until the other side accepts no more data. Returns the number of bytes sent.
  std::size_t send_available(const std::string& text) const;
  // Closes only the sending direction.
  void shutdown_send() const;
  // Closes the connection with FIN.
  void close();
  // Closes the connection with RST.
  void reset();

  // Returns whether no unread data is there, and neither data nor the end of the connection arrives within
  // `wait`.
  bool is_idle(std::chrono::milliseconds wait = std::chrono::milliseconds{0}) const;
  // Waits until the other side closes or resets the connection. Returns false if data arrives first, or if
  // nothing arrives within kWaitLimit.
  bool closed_by_peer();

  // Reads `count` bytes, or fewer if the connection ends first.
  std::string read_bytes(std::size_t count);
  // Reads up to and including `mark`, or less if the connection ends first.
  std::string read_until(const std::string& mark);
  // Reads a message with a body of Content-Length bytes, or less if the connection ends first.
  std::string read_message();

 private:
  bool receive(std::size_t max_bytes);
  std::string take_buffered(std::size_t count);

  FileDescriptor descriptor_;
  std::string buffer_;  // received and not yet read
};

// Listens on a port that the system has chosen.
class ListeningSocket {
 public:
  static constexpr int kDefaultBacklog = 64;  // connections that can wait to be accepted

  explicit ListeningSocket(int backlog = kDefaultBacklog);

  int port() const { return port_; }
  // Gives later connections a receive buffer of this size, which does not grow.
  void limit_receive_buffer(int bytes) const;
  // Stops listening and frees the port.
  void close() { descriptor_.close(); }
  // Refuses connections from now on, but keeps the port, because another test's process must not get the
  // port.
  void stop_listening();
  // Listens again after stop_listening().
  void resume_listening() const;
  // Returns whether no connection is there to be accepted, and none arrives within `wait`.
  bool is_idle(std::chrono::milliseconds wait = std::chrono::milliseconds{0}) const;
  // Accepts a connection. Throws TimeoutError if no connection arrives within kWaitLimit.
  TestSocket accept() const;
  // Accepts a connection from the first of the two sockets that gets one.
  static TestSocket accept_from_either(const ListeningSocket& first, const ListeningSocket& second);

 private:
  FileDescriptor descriptor_;
  int port_ = 0;
};

// Reserves a port for processes that share the port (SO_REUSEPORT). The socket is bound but never listens, so
// that it gets no connections.
class ReservedPort {
 public:
  ReservedPort();
  int port() const { return port_; }

 private:
  FileDescriptor descriptor_;
  int port_ = 0;
};

}  // namespace asterdrift::test_support
