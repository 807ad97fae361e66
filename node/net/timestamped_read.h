// Reads from a socket, with the time at which the bytes arrived at this machine.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

#include "asterdrift/seconds.h"

namespace asterdrift::node::net {

struct TimestampedRead {
  std::size_t size = 0;
  // When the last of these bytes arrived, on the steady clock. If the system has attached no timestamp, the
  // time of the read.
  Seconds arrived_at = 0;
};

// Makes the system attach an arrival timestamp to received bytes. Connections inherit this from the listening
// socket that accepts them. If the system does not support timestamps, TimestampedRead has the time of the
// read.
void enable_arrival_timestamps(int socket);

// Reads the bytes that have arrived, as boost::asio::ip::tcp::socket::read_some() does on a non-blocking
// socket.
TimestampedRead read_some(boost::asio::ip::tcp::socket& socket, boost::asio::mutable_buffer buffer,
                          boost::system::error_code& error);

}  // namespace asterdrift::node::net
