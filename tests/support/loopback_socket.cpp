// TCP sockets on the loopback address: connections, listening sockets and reserved ports.
#include "support/loopback_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

#include "support/http_messages.h"

namespace asterdrift::test_support {
namespace {

// If the other side accepts no data for this time, it is considered to accept no more.
constexpr std::chrono::milliseconds kSendStallTimeout{300};
constexpr std::size_t kReadBufferBytes = 65536;
constexpr std::size_t kMessageReadBytes = 4096;

std::string address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

[[noreturn]] void throw_system_error(const std::string& operation, int port) {
  throw std::system_error(errno, std::generic_category(), operation + " " + address_text(port));
}

sockaddr_in loopback_address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

FileDescriptor new_tcp_socket() {
  FileDescriptor descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!descriptor.is_open()) throw std::system_error(errno, std::generic_category(), "create a TCP socket");
  return descriptor;
}

void bind_to(int descriptor, int port) {
  const sockaddr_in address = loopback_address(port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw_system_error("bind to", port);
  }
}

int bound_port(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::system_error(errno, std::generic_category(), "read a socket's local address");
  }
  return ntohs(address.sin_port);
}

void enable_option(int descriptor, int option) {
  const int enabled = 1;
  if (setsockopt(descriptor, SOL_SOCKET, option, &enabled, sizeof enabled) != 0) {
    throw std::system_error(errno, std::generic_category(), "enable socket option " + std::to_string(option));
  }
}

// To be called before a connection is established, because its window scale depends on the receive buffer.
void set_receive_buffer(int descriptor, int bytes) {
  if (bytes == TestSocket::kSystemReceiveBuffer) return;
  if (setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) != 0) {
    throw std::system_error(errno, std::generic_category(), "set the receive buffer of a socket");
  }
}

}  // namespace

TestSocket::TestSocket(FileDescriptor descriptor) : descriptor_(std::move(descriptor)) {}

TestSocket TestSocket::connect_to(int port, int receive_buffer_bytes) {
  TestSocket connection(new_tcp_socket());
  set_receive_buffer(connection.descriptor_.get(), receive_buffer_bytes);
  const sockaddr_in address = loopback_address(port);
  if (connect(connection.descriptor_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
      0) {
    throw_system_error("connect to", port);
  }
  return connection;
}

void TestSocket::limit_send_buffer(int bytes) const {
  setsockopt(descriptor_.get(), SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

int TestSocket::local_port() const { return bound_port(descriptor_.get()); }

void TestSocket::send(const std::string& text) const {
  ::send(descriptor_.get(), text.data(), text.size(), MSG_NOSIGNAL);
}

std::size_t TestSocket::send_available(const std::string& text) const {
  std::size_t sent = 0;
  while (sent < text.size()) {
    pollfd request{descriptor_.get(), POLLOUT, 0};
    if (poll(&request, 1, static_cast<int>(kSendStallTimeout.count())) <= 0) break;
    const ssize_t count =
        ::send(descriptor_.get(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count <= 0) break;
    sent += static_cast<std::size_t>(count);
  }
  return sent;
}

void TestSocket::shutdown_send() const { shutdown(descriptor_.get(), SHUT_WR); }

void TestSocket::close() { descriptor_.close(); }

void TestSocket::reset() {
  const linger immediately{1, 0};  // close() sends RST if the linger time is 0
  setsockopt(descriptor_.get(), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
  close();
}

bool TestSocket::is_idle(std::chrono::milliseconds wait) const {
  return buffer_.empty() && !wait_readable(descriptor_.get(), wait);
}

bool TestSocket::closed_by_peer() {
  if (!buffer_.empty() || !wait_readable(descriptor_.get(), kWaitLimit)) return false;
  char byte = 0;
  return recv(descriptor_.get(), &byte, 1, 0) <= 0;
}

std::string TestSocket::read_bytes(std::size_t count) {
  while (buffer_.size() < count && receive(kReadBufferBytes)) {
  }
  return take_buffered(count);
}

std::string TestSocket::read_until(const std::string& mark) {
  std::string text;
  while (!text.ends_with(mark)) {
    const std::string next = read_bytes(1);
    if (next.empty()) break;
    text += next;
  }
  return text;
}

std::string TestSocket::read_message() {
  std::size_t size = complete_message_size(buffer_);
  while (size == 0 && receive(kMessageReadBytes)) size = complete_message_size(buffer_);
  return take_buffered(size > 0 ? size : buffer_.size());
}

bool TestSocket::receive(std::size_t max_bytes) {
  if (!wait_readable(descriptor_.get(), kWaitLimit)) return false;
  std::array<char, kReadBufferBytes> bytes;
  const ssize_t count = recv(descriptor_.get(), bytes.data(), max_bytes, 0);
  if (count <= 0) return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::string TestSocket::take_buffered(std::size_t count) {
  std::string taken = buffer_.substr(0, count);
  buffer_.erase(0, taken.size());
  return taken;
}

ListeningSocket::ListeningSocket(int backlog) : descriptor_(new_tcp_socket()) {
  enable_option(descriptor_.get(), SO_REUSEPORT);
  bind_to(descriptor_.get(), 0);
  port_ = bound_port(descriptor_.get());
  if (listen(descriptor_.get(), backlog) != 0) throw_system_error("listen on", port_);
}

void ListeningSocket::limit_receive_buffer(int bytes) const { set_receive_buffer(descriptor_.get(), bytes); }

void ListeningSocket::stop_listening() {
  FileDescriptor holder = new_tcp_socket();
  enable_option(holder.get(), SO_REUSEPORT);
  bind_to(holder.get(), port_);
  descriptor_ = std::move(holder);
}

void ListeningSocket::resume_listening() const {
  if (listen(descriptor_.get(), kDefaultBacklog) != 0) throw_system_error("listen again on", port_);
}

bool ListeningSocket::is_idle(std::chrono::milliseconds wait) const {
  return !wait_readable(descriptor_.get(), wait);
}

TestSocket ListeningSocket::accept() const {
  if (!wait_readable(descriptor_.get(), kWaitLimit)) {
    throw TimeoutError("a connection to " + address_text(port_), kWaitLimit);
  }
  FileDescriptor connection(accept4(descriptor_.get(), nullptr, nullptr, SOCK_CLOEXEC));
  if (!connection.is_open()) throw_system_error("accept a connection to", port_);
  return TestSocket(std::move(connection));
}

TestSocket ListeningSocket::accept_from_either(const ListeningSocket& first, const ListeningSocket& second) {
  std::array<pollfd, 2> requests{
      {{first.descriptor_.get(), POLLIN, 0}, {second.descriptor_.get(), POLLIN, 0}}};
  poll(requests.data(), requests.size(), static_cast<int>(kWaitLimit.count()));
  return ((requests[0].revents & POLLIN) != 0 ? first : second).accept();
}

ReservedPort::ReservedPort() : descriptor_(new_tcp_socket()) {
  enable_option(descriptor_.get(), SO_REUSEADDR);
  enable_option(descriptor_.get(), SO_REUSEPORT);
  bind_to(descriptor_.get(), 0);
  port_ = bound_port(descriptor_.get());
}

}  // namespace asterdrift::test_support
