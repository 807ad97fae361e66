// Callers' connections: reads requests, answers what needs no server, and passes /api on to the engine.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "node/budget.h"
#include "node/config.h"
#include "node/engine.h"
#include "node/intake.h"
#include "node/metrics.h"
#include "node/stream.h"

namespace asterdrift::node {

class Listener {
 public:
  class Connection;

  // Binds the address; one that is shared may be bound by other processes of this node too. Throws
  // boost::system::system_error when it can't be had.
  Listener(boost::asio::io_context& io, const Config& config, Engine& engine, ByteBudget& budget,
           Metrics& metrics, std::size_t most_connections, bool shared_address);

  // From now on connections come here. Throws as above.
  void listen();
  bool listening() const { return listening_; }

  // The limit on connections; what is idle beyond it is closed.
  void set_most(std::size_t connections);

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Says that the node leaves: /healthz answers 503 from now on. Clients may go on using what they have.
  void drain() { draining_ = true; }
  // Answers from now on end their connections. What is idle stays, and new ones are still accepted.
  void finish_answers() { finishing_ = true; }
  // And what is idle is closed.
  void finish();
  // Accepts what has been connected by now, and nothing after that.
  void stop_accepting();
  // Whoever has sent a part of a request is refused.
  void refuse_parts();
  std::size_t connections() const { return count_; }
  // Connections whose answer is owed or being written.
  std::size_t busy() const { return busy_; }
  // Requests that are taken and have not had their whole answer.
  std::size_t pending() const { return pending_; }
  // Whether this process can serve: what /healthz and the operators are told.
  bool ready() const { return engine_.ready() && listening_ && !draining_; }

 private:
  using Order = std::list<std::shared_ptr<Connection>>;

  void accept();
  void accept_later();
  void adopt(boost::asio::ip::tcp::socket socket);
  bool make_room();
  void closed();
  void sweep();
  bool crowded() const { return busy_ > most_ - most_ / 8; }

  boost::asio::io_context& io_;
  Engine& engine_;
  ByteBudget& budget_;
  Metrics& metrics_;
  const Intake intake_;
  std::size_t most_;
  std::size_t count_ = 0, pending_ = 0;
  std::size_t busy_ = 0;  // busy: with a request that waits for its answer or gets it
  bool listening_ = false, draining_ = false, finishing_ = false, accepting_ = false, full_ = false;
  // Each in the order in which they became so. fresh: has sent nothing yet; uploading: the engine has the
  // request, and its body is still coming; ending: has its last answer.
  Order fresh_, idle_, reading_, uploading_, writing_, ending_;
  std::array<char, 16 * 1024> scratch_{};  // what is read goes through here: one thread, one buffer
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_, sweep_;
};

}  // namespace asterdrift::node
