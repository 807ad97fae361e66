// Steers new connections with a BPF program that returns the index of a SO_REUSEPORT socket.
#include "node/net/connection_steering.h"

#include <linux/filter.h>
#include <sys/socket.h>

namespace asterdrift::node::net {

bool steer_new_connections(int listening_socket, std::uint32_t index) {
  sock_filter return_index{BPF_RET | BPF_K, 0, 0, index};
  const sock_fprog program{1, &return_index};
  return ::setsockopt(listening_socket, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) == 0;
}

void stop_steering(int listening_socket) {
  const int ignored = 0;
  ::setsockopt(listening_socket, SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, &ignored, sizeof ignored);
}

}  // namespace asterdrift::node::net
