// The other processes that run as this node, as while it is replaced: together they are one node. They see
// each other by locks on the bytes of one file in $TMPDIR. A lock dies with its process, so that nothing
// stale is left.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>

namespace asterdrift::node {

class Siblings {
 public:
  // What a process says of itself, for as long as it lives and has not taken it back.
  enum class Word {
    kAlive,   // said from the start
    kShares,  // keeps to its part of the node's limits
    kServes   // takes new connections and can serve them
  };

  // A node is known by the address on which it listens. Without a folder, or where the file can't be used,
  // nobody is seen, and this is a process on its own.
  Siblings(const char* folder, const boost::asio::ip::tcp::endpoint& listen);
  ~Siblings();
  Siblings(const Siblings&) = delete;
  Siblings& operator=(const Siblings&) = delete;

  // Whether others can see this process.
  bool seen() const { return file_ >= 0; }
  void say(Word word, bool holds);
  // How many other processes say so now.
  std::size_t others(Word word) const;

 private:
  int file_ = -1, slot_ = 0;
};

}  // namespace asterdrift::node
