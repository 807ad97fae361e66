// Reads from a socket, and tells when the bytes arrived at this machine.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace asterdrift::node::net {

struct TimedRead {
  std::size_t size = 0;
  // When the last of these bytes arrived, on the steady clock. The time of the read, where the system does
  // not tell.
  double arrived_at = 0;
};

// Makes the system keep the times of arrival, of a listening socket for the connections that it accepts.
// Where it cannot, reads have their own time.
void enable_arrival_times(int socket);

// Reads what is there, like boost::asio::ip::tcp::socket::read_some() on a non-blocking socket.
TimedRead read_some(boost::asio::ip::tcp::socket& socket, boost::asio::mutable_buffer buffer,
                    boost::system::error_code& error);

}  // namespace asterdrift::node::net
