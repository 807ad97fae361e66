// Inspects a socket without reading from it.
#pragma once

#include <cstddef>

namespace asterdrift::node::net {

// Whether bytes have arrived that have not been read yet.
bool has_unread_bytes(int socket);

// How many bytes have arrived that have not been read yet; 0 if the system does not tell.
std::size_t unread_bytes(int socket);

enum class PeerState {
  kQuiet,         // the connection is open, and there is nothing to read
  kUnreadBytes,   // there are unread bytes, and no end of the connection has arrived behind them
  kDisconnected,  // the peer has ended its side of the connection, or the connection has failed
};

// The end of the connection arrives behind unread bytes only if there is room for them in the receive buffer.
PeerState probe_peer(int socket);

// Whether the peer's system has reset the connection, as it does if the peer closes the connection before it
// has read all bytes that were sent.
bool has_peer_reset(int socket);

// Whether a connection waits to be accepted by a listening socket.
bool has_waiting_connection(int listening_socket);

// Whether the connection is open and there is nothing to read: neither unread bytes nor the peer's end.
bool is_idle(int socket);

}  // namespace asterdrift::node::net
