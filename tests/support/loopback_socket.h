// TCP sockets on the loopback address: connections, listening sockets and reserved ports.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "support/file_descriptor.h"
#include "support/wait_until.h"

namespace asterdrift::test_support {

// One end of a connection. Reads wait for `kWaitLimit` at most and then return what has come.
class TestSocket {
 public:
  TestSocket() = default;
  explicit TestSocket(FileDescriptor descriptor);

  // Connects to a port. Throws std::system_error with the address.
  static TestSocket connect_to(int port);

  int local_port() const;
  bool is_open() const { return descriptor_.is_open(); }
  // Gives up the descriptor. Nothing may have been read before.
  FileDescriptor release() { return std::move(descriptor_); }

  // Sends all of `text`; waits while the other side takes nothing. Ignores a broken connection.
  void send(const std::string& text) const;
  // Sends what the other side takes before it pauses for long. Returns the number of bytes.
  std::size_t send_available(const std::string& text) const;
  // Ends the sending direction alone.
  void shutdown_send() const;
  // Closes in order (FIN).
  void close();
  // Closes with a reset (RST).
  void reset();

  // Whether nothing has come that is still unread, neither bytes nor the end of the connection.
  bool is_idle(std::chrono::milliseconds wait = std::chrono::milliseconds{0}) const;
  // Waits for the other side's end of the connection. False where further bytes come first.
  bool closed_by_peer();

  // So many bytes; fewer where the connection ends first.
  std::string read_bytes(std::size_t count);
  // All up to and including `mark`; less where the connection ends first.
  std::string read_until(const std::string& mark);
  // One message with a body of Content-Length; less where the connection ends first.
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
  static constexpr int kDefaultBacklog = 64;  // connections

  explicit ListeningSocket(int backlog = kDefaultBacklog);

  int port() const { return port_; }
  // Frees the port.
  void close() { descriptor_.close(); }
  // Refuses connections from now on, but keeps the port: another test's process must not get it.
  void stop_listening();
  // Listens again after stop_listening.
  void resume_listening() const;
  // Whether no connection waits to be accepted.
  bool is_idle(std::chrono::milliseconds wait = std::chrono::milliseconds{0}) const;
  // Throws TimeoutError where no connection comes.
  TestSocket accept() const;
  // Accepts from whichever of the two gets a connection.
  static TestSocket accept_from_either(const ListeningSocket& first, const ListeningSocket& second);

 private:
  FileDescriptor descriptor_;
  int port_ = 0;
};

// Keeps a port from all processes but those that share it (SO_REUSEPORT): bound and never listening.
class ReservedPort {
 public:
  ReservedPort();
  int port() const { return port_; }

 private:
  FileDescriptor descriptor_;
  int port_ = 0;
};

}  // namespace asterdrift::test_support
