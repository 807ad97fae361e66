// A discovery of this repository's own, on loopback: lists, watches and what can go wrong with them. It
// counts what it is asked and what it sends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace asterdrift::scale {

// Name of the server at a place of the list, the same in every list; each is as long as the others.
std::string server_name(std::size_t place);

// A list in discovery's form, without an end of line, of `servers` healthy servers at one port.
std::string whole_list(std::uint64_t seq, std::size_t servers, int dial_port);
std::string change_of(std::uint64_t seq, std::size_t place, int dial_port, const char* health);

class StandInDiscovery {
 public:
  enum class Mode {
    kWell,
    kRefuse,       // nobody listens
    kHang,         // connections are taken, nothing is said
    kUnavailable,  // 503 to each request
    kCut,          // each whole list ends in its middle, with its connection
    kSpoil         // one entry of each whole list can't be read
  };
  struct Counts {
    std::uint64_t connections = 0, requests = 0;
    std::uint64_t whole_lists = 0, changes = 0, empty_lines = 0;  // messages begun
    std::uint64_t bytes = 0;                                      // sent, HTTP's own among them
    std::uint64_t watches = 0;                                    // open now
  };

  StandInDiscovery(boost::asio::io_context& io, std::size_t servers, int dial_port);
  ~StandInDiscovery();

  int port() const { return port_; }
  const Counts& counts() const { return counts_; }
  // When each request came, s on the steady clock; the first thousand.
  const std::vector<double>& asked_at() const { return asked_at_; }
  std::uint64_t seq() const { return seq_; }

  // Ends what is open, other than for kHang, where it falls silent.
  void set_mode(Mode mode);

  // One server drains, or is well again: a new version, which all watches are told.
  void set_draining(std::size_t place, bool draining);

  // So many changes a second from now on, at one place after the other; 0: none.
  void set_rate(double changes_per_s);

 private:
  class Connection;
  using Text = std::shared_ptr<const std::string>;

  void listen();
  void accept();
  void next_change();
  std::string entry(std::size_t place) const;
  Text whole();
  Text since(std::uint64_t index);

  boost::asio::io_context& io_;
  int dial_port_, port_ = 0;
  std::vector<bool> draining_;  // by place
  std::uint64_t seq_ = 1;
  std::deque<std::pair<std::uint64_t, std::size_t>> history_;  // version and place of late changes
  Text whole_;                                                 // of this version, once asked for
  Mode mode_ = Mode::kWell;
  Counts counts_;
  std::vector<double> asked_at_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket holder_;  // keeps the port while nobody listens
  std::set<std::shared_ptr<Connection>> connections_;
  boost::asio::steady_timer pace_;
  double period_ = 0;  // s between two changes
  std::size_t paced_ = 0;
};

}  // namespace asterdrift::scale
