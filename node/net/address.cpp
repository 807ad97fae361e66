// Formats socket addresses as ADDRESS:PORT.
#include "node/net/address.h"

#include <boost/system/error_code.hpp>

namespace asterdrift::node::net {

std::string to_text(const boost::asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

std::string peer_address(const boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  const boost::asio::ip::tcp::endpoint peer = socket.remote_endpoint(error);
  return error ? "unknown" : to_text(peer);
}

}  // namespace asterdrift::node::net
