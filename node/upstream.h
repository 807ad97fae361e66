// Attempts at servers: a keep-alive pool for each server, and the outcome of each attempt.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "asterdrift/balancer/balancer.h"
#include "node/budget.h"
#include "node/config.h"
#include "node/metrics.h"
#include "node/stream.h"

namespace asterdrift::node {

// A request as it goes on to a server.
struct Forward {
  std::string head;              // request line and headers, but for Request-Timeout-Ms and the empty line
  std::string body;              // all of it, or how it begins
  Claim claim;                   // on these bytes
  std::shared_ptr<Stream> rest;  // what follows, while the client still sends it; null: nothing
  bool chunked = false;          // the length is not known
  bool rest_begun = false;       // a part of the rest has gone out, and is kept nowhere
  // Asked before bytes go out: whether its client still waits. May end its attempts from within.
  std::function<bool()> wanted;
};

struct AttemptEnd {
  balancer::Outcome outcome = balancer::Outcome::kUnknown;
  std::string body, content_type;  // of a delivered answer, unless it has passed as a stream
  Claim claim;                     // on the bytes of that body
  double asked_at = 0;             // when the request was out, where that took the client's time; else 0
};

// An answer of 200 that is too large to be kept, or too slow to be waited for: its body follows.
struct AnswerBegins {
  std::string content_type;
  std::optional<std::uint64_t> length;
  std::shared_ptr<Stream> body;
  double asked_at = 0;  // as above
};

class Upstream {
 public:
  // Who is told what becomes of an attempt. done: exactly once.
  struct Watcher {
    std::function<void(AttemptEnd&&)> done;
    std::function<void(AnswerBegins&&)> begins;
    std::function<void()> rest_begun;  // see Forward
    std::function<void()> out;         // the last byte, where the rest took its client's time
  };
  class Connection;
  struct Handle {
    std::weak_ptr<Connection> connection;
    std::uint64_t serial = 0;
  };

  Upstream(boost::asio::io_context& io, const Config& config, ByteBudget& budget, Metrics& metrics,
           std::size_t most_sockets);

  // Starts an attempt. Its end may come before this returns. The timeout counts from when the request is out.
  // What is not written whole by `write_within` ends as not sent.
  Handle start(const std::string& server, std::shared_ptr<Forward> request, double timeout,
               double write_within, Watcher watcher);

  // Stops waiting for an attempt; it ends so unless it has ended.
  void stop(const Handle& attempt, balancer::Outcome outcome);

  // Keeps an attempt from its server: ends it as not sent unless it has been written whole, or is being
  // answered.
  void withdraw(const Handle& attempt);

  // Takes over a list that is whole, or the changes in one. The cost is that of its servers alone, for a
  // whole one also that of the servers from before. Servers that drain or are gone get nothing more: returns
  // the attempts that still wait for a connection to one, or to where one was before, to be stopped as not
  // sent.
  std::vector<Handle> apply(const ServerList& list, bool whole);

  // The limit on connections; what is idle beyond it is closed.
  void set_most(std::size_t sockets);

  std::size_t servers() const { return servers_.size(); }  // that may be sent to

 private:
  // One for each server on the list, and there may be tens of thousands, few of which are ever called: until
  // then it holds nothing elsewhere.
  struct Server {
    boost::asio::ip::tcp::endpoint dial;
    std::uint32_t listed = 0;  // the list that named it last, see lists_
    double started = 0;
    std::uint64_t generation = 0;                     // new with each process or address
    std::vector<std::shared_ptr<Connection>> parked;  // the most recently used at the back
    std::vector<std::shared_ptr<Connection>> connecting;
  };

  Server* find(const std::string& name);
  std::shared_ptr<Connection> reuse(Server& server);
  bool make_room();
  void park(const std::shared_ptr<Connection>& connection);
  void unpark(const std::shared_ptr<Connection>& connection);
  void close_parked(Server& server);
  void close_old();
  void remove(std::unordered_map<std::string, Server>::iterator server, std::vector<Handle>& stopped);
  static void stop_connecting(const Server& server, std::vector<Handle>& stopped);

  boost::asio::io_context& io_;
  ByteBudget& budget_;
  Metrics& metrics_;
  const double connect_timeout_, keep_idle_;
  std::size_t most_sockets_;
  std::size_t open_ = 0;
  double wary_until_ = 0;  // kept connections have broken under their next request lately
  std::uint64_t serial_ = 0, generation_ = 0;
  std::uint32_t lists_ = 0;                // taken over so far
  std::array<char, 16 * 1024> scratch_{};  // what is read goes through here: one thread, one buffer
  std::unordered_map<std::string, Server> servers_;
  std::list<std::shared_ptr<Connection>> parked_;  // all of them, the longest idle first
  boost::asio::steady_timer sweep_;
};

}  // namespace asterdrift::node
