// Probes sockets with a non-blocking peek and with poll().
#include "node/net/socket_probe.h"

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace asterdrift::node::net {
namespace {

// Returns what recv() returns: 1 if there is an unread byte, 0 at the end of the stream, -1 with errno on an
// error.
ssize_t peek(int socket) {
  char byte = 0;
  ssize_t size = 0;
  do {
    size = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (size < 0 && errno == EINTR);
  return size;
}

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

bool has_unread_bytes(int socket) { return peek(socket) > 0; }

std::size_t unread_bytes(int socket) {
  int bytes = 0;
  return ::ioctl(socket, FIONREAD, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

PeerState probe_peer(int socket) {
  const ssize_t size = peek(socket);
  if (size < 0 && would_block(errno)) return PeerState::kQuiet;
  if (size <= 0) return PeerState::kDisconnected;
  pollfd hang_up{socket, POLLRDHUP, 0};
  return ::poll(&hang_up, 1, 0) > 0 ? PeerState::kDisconnected : PeerState::kUnreadBytes;
}

bool has_peer_reset(int socket) {
  pollfd failure{socket, 0, 0};  // POLLERR and POLLHUP are always reported
  return ::poll(&failure, 1, 0) > 0;
}

bool has_waiting_connection(int listening_socket) {
  pollfd acceptable{listening_socket, POLLIN, 0};
  return ::poll(&acceptable, 1, 0) > 0;
}

bool is_idle(int socket) { return peek(socket) < 0 && would_block(errno); }

}  // namespace asterdrift::node::net
