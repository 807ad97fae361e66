#include "soak/peer_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstring>
#include <ctime>
#include <utility>

#include "support/wait_until.h"

namespace asterdrift::soak {
namespace {

using test_support::FileDescriptor;
using test_support::steady_seconds;

constexpr std::size_t kMaxReadBytes = 65536;
constexpr int kResetDelayMs = 20;
constexpr double kMillisecondsPerSecond = 1e3, kNanosecondsPerSecond = 1e9;

void enable(int descriptor, int level, int option) {
  const int enabled = 1;
  setsockopt(descriptor, level, option, &enabled, sizeof enabled);
}

// Whether a reset follows the end of the connection: the other side had not read all bytes that were sent.
// The reset may arrive a moment later if the bytes were on their way when the other side closed the
// connection.
bool has_been_reset(int descriptor) {
  pollfd reset{descriptor, 0, 0};  // POLLERR is always reported
  ::poll(&reset, 1, kResetDelayMs);
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  return error != 0;
}

Seconds to_seconds(const timespec& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

// When the message arrived according to the kernel (SO_TIMESTAMPNS), on the steady clock. Returns the current
// time if the kernel has not recorded the time of arrival.
Seconds arrival_time(msghdr& message) {
  for (cmsghdr* part = CMSG_FIRSTHDR(&message); part != nullptr; part = CMSG_NXTHDR(&message, part)) {
    if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec arrival{}, real_time{};
    std::memcpy(&arrival, CMSG_DATA(part), sizeof arrival);
    clock_gettime(CLOCK_REALTIME, &real_time);
    return steady_seconds() - (to_seconds(real_time) - to_seconds(arrival));
  }
  return steady_seconds();
}

}  // namespace

PeerConnection::PeerConnection(FileDescriptor descriptor)
    : descriptor_(std::move(descriptor)), connected_at_(steady_seconds()) {
  enable(descriptor_.get(), SOL_SOCKET, SO_TIMESTAMPNS);
  enable(descriptor_.get(), IPPROTO_TCP, TCP_NODELAY);
}

PeerConnection PeerConnection::connect_to(int port) {
  FileDescriptor descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(descriptor.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    return {};
  return PeerConnection(std::move(descriptor));
}

bool PeerConnection::has_ended() const {
  char byte = 0;
  const ssize_t size = ::recv(descriptor_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN);
}

bool PeerConnection::send(const std::string& text) const {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size = ::send(descriptor_.get(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

PeerConnection::Read PeerConnection::read_until(Seconds deadline) {
  const double wait_ms = std::max(0.0, deadline - steady_seconds()) * kMillisecondsPerSecond;
  pollfd readable{descriptor_.get(), POLLIN, 0};
  if (::poll(&readable, 1, static_cast<int>(std::ceil(wait_ms))) <= 0) return Read::kTimeout;
  std::array<char, kMaxReadBytes> bytes;
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> control{};
  iovec target{bytes.data(), bytes.size()};
  msghdr message{};
  message.msg_iov = &target;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  const ssize_t size = ::recvmsg(descriptor_.get(), &message, 0);
  if (size == 0) return has_been_reset(descriptor_.get()) ? Read::kReset : Read::kClosed;
  if (size < 0) return Read::kReset;
  received_at_ = arrival_time(message);
  received_.append(bytes.data(), static_cast<std::size_t>(size));
  return Read::kBytes;
}

void PeerConnection::reset() {
  const linger immediately{1, 0};
  setsockopt(descriptor_.get(), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
  close();
}

}  // namespace asterdrift::soak
