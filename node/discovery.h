// The watch on discovery: one at a time, asked for again when it has failed. While discovery moves to another
// address, a second one at the new address takes over as soon as it has spoken.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "node/ask_budget.h"
#include "node/config.h"

namespace asterdrift::node {

class Discovery {
 public:
  struct Listeners {
    std::function<void(const ServerList&)> list;
    std::function<void()> failed;
  };

  Discovery(boost::asio::io_context& io, const Config& config, Listeners listeners);
  ~Discovery();

  // Starts a watch unless one is under way. Where the module asks for watches it also chooses when to ask
  // again; elsewhere that happens here. What asking may cost is kept to here in both cases: the watch starts
  // later where too much has come for nothing.
  void watch();

  // Discovery is at another address from now on. Until that has spoken, what the old watch says still counts.
  void move(const boost::asio::ip::tcp::endpoint& address);

 private:
  class Watch;

  // Why a watch has ended: nothing came any more, or what came can't be taken.
  struct Failure {
    std::string why;
    std::size_t lost = 0;      // bytes that have come and are of no use
    bool not_taken = false;    // they were no list that can be taken
    bool whole_first = false;  // and the first thing told on a watch that asked for the whole list
  };

  void came(Watch* which, ServerList&& list, std::size_t answer_bytes);
  void failed(const Watch* which, const Failure& failure);
  bool asks_whole() const { return !seq_ || whole_next_; }
  void start();
  void reach();
  void later(double wait, std::function<void()> what);
  double retry_wait();
  double unit() { return std::uniform_real_distribution<>(0, 1)(random_); }

  boost::asio::io_context& io_;
  const Config& config_;
  Listeners listeners_;
  boost::asio::ip::tcp::endpoint address_;
  std::optional<std::uint64_t> seq_;       // of what this address told last; without it all is asked for
  bool whole_next_ = false;                // the changes since then can't be taken
  bool met_ = false;                       // this address has told a whole list
  std::shared_ptr<Watch> current_, next_;  // next: at an address that has not spoken yet
  bool moving_ = false;                    // the address has not spoken yet
  bool well_ = true;
  std::string said_;  // why the last list could not be taken: logged once
  AskBudget budget_;
  std::minstd_rand random_;
  boost::asio::steady_timer again_;
};

}  // namespace asterdrift::node
