#include "node/net/timestamped_read.h"

#include <sys/socket.h>
#include <sys/types.h>

#include <array>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <cstring>
#include <ctime>

#include "node/timing/clock.h"

namespace asterdrift::node::net {
namespace {

constexpr double kNanosecondsPerSecond = 1e9;
// If bytes seem older than this, the system's clock has been set meanwhile, and their age counts as 0.
constexpr Seconds kMaxMessageAge = 10;

Seconds to_seconds(const timespec& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

// How long ago the bytes of a received message arrived; 0 if the system has attached no timestamp.
Seconds message_age(msghdr& message) {
  for (cmsghdr* control = CMSG_FIRSTHDR(&message); control != nullptr;
       control = CMSG_NXTHDR(&message, control)) {
    if (control->cmsg_level != SOL_SOCKET || control->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec arrival{}, now{};
    std::memcpy(&arrival, CMSG_DATA(control), sizeof arrival);
    clock_gettime(CLOCK_REALTIME, &now);
    const Seconds age = to_seconds(now) - to_seconds(arrival);
    return age > 0 && age < kMaxMessageAge ? age : 0;
  }
  return 0;
}

}  // namespace

void enable_arrival_timestamps(int socket) {
  const int enabled = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_TIMESTAMPNS, &enabled, sizeof enabled);
}

TimestampedRead read_some(boost::asio::ip::tcp::socket& socket, boost::asio::mutable_buffer buffer,
                          boost::system::error_code& error) {
  iovec target{buffer.data(), buffer.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> control;
  msghdr message{};
  message.msg_iov = &target;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  ssize_t size = 0;
  do {
    size = ::recvmsg(socket.native_handle(), &message, 0);
  } while (size < 0 && errno == EINTR);
  error = {};
  if (size == 0) error = boost::asio::error::eof;
  if (size < 0) error = boost::system::error_code(errno, boost::system::system_category());
  if (size <= 0) return {};
  return {static_cast<std::size_t>(size), timing::now() - message_age(message)};
}

}  // namespace asterdrift::node::net
