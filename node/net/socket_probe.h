// Inspects a socket without reading from it.
#pragma once

#include <cstddef>

namespace asterdrift::node::net {

// Whether bytes have arrived that have not been read yet.
bool has_unread_bytes(int socket);

// How many bytes have arrived that have not been read yet; 0 if the system does not tell.
std::size_t unread_bytes(int socket);

// Whether the peer has ended its side of the connection, even if unread bytes precede the end, or the
// connection has failed.
bool has_peer_disconnected(int socket);

// Whether a connection waits to be accepted by a listening socket.
bool has_waiting_connection(int listening_socket);

// Whether the connection is open and there is nothing to read: neither unread bytes nor the peer's end.
bool is_idle(int socket);

}  // namespace asterdrift::node::net
