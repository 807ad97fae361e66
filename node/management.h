// The operators' address: GET /ready and GET /metrics, one call to a connection. It has connections of its
// own, a few, so that neither the callers' crowd nor peers that only hold on keep it from answering.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace asterdrift::node {

class Management {
 public:
  static constexpr std::size_t kMostPeers = 12;  // and a descriptor for the next: set aside for it

  struct Calls {
    std::function<bool()> ready;
    std::function<std::string()> metrics;
  };

  // Throws boost::system::system_error when the address can't be listened on.
  Management(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Calls calls);

  void set_most(std::size_t peers) { most_ = peers; }
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Peer;
  using Order = std::list<std::shared_ptr<Peer>>;

  void accept();
  void sweep();
  void make_room();

  boost::asio::io_context& io_;
  const Calls calls_;
  std::size_t most_ = kMostPeers;
  Order peers_;  // the oldest first
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, sweep_;
};

}  // namespace asterdrift::node
