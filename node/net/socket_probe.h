// Inspects a socket without reading from it.
#pragma once

namespace asterdrift::node::net {

// Whether bytes have arrived that are not read yet.
bool has_unread_bytes(int socket);

// Whether the peer has ended its side of the connection, be it behind bytes that are not read yet, or the
// connection has broken.
bool has_peer_disconnected(int socket);

// Whether a connection waits to be accepted by a listening socket.
bool has_waiting_connection(int listening_socket);

// Whether the connection is open and nothing has arrived.
bool is_quiet(int socket);

}  // namespace asterdrift::node::net
