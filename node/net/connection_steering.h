// Controls which of several sockets that listen on one address (SO_REUSEPORT) gets new connections.
#pragma once

#include <cstdint>

namespace asterdrift::node::net {

// Directs all new connections to the socket with this index; sockets are numbered in the order in which they
// have begun to listen. Connections that are being established stay with the socket that the system has
// chosen for them. While no socket has the index, the system distributes new connections as it does without
// steering. Returns whether the system supports steering.
bool steer_new_connections(int listening_socket, std::uint32_t index);

// Lets the system distribute new connections again, as before steer_new_connections().
void stop_steering(int listening_socket);

}  // namespace asterdrift::node::net
