// Which of several sockets that listen on one address (SO_REUSEPORT) gets new connections.
#pragma once

#include <cstdint>

namespace asterdrift::node::net {

// Sends all new connections to the socket with this index, in the order in which the sockets have begun to
// listen; connections that are being established stay where they are. While no socket has the index, the
// system distributes them as it does without steering. Returns whether the system can do it.
bool steer_new_connections(int listening_socket, std::uint32_t index);

// Lets the system distribute new connections again.
void stop_steering(int listening_socket);

}  // namespace asterdrift::node::net
