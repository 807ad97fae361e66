// Socket addresses as text, for log lines and names.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace asterdrift::node::net {

// ADDRESS:PORT, such as 127.0.0.1:3000.
std::string to_text(const boost::asio::ip::tcp::endpoint& address);

// The address of a socket's peer; "unknown" if the socket is no longer connected.
std::string peer_address(const boost::asio::ip::tcp::socket& socket);

}  // namespace asterdrift::node::net
