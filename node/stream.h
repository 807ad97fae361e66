// A body on its way from one connection to another, a bounded number of bytes at a time.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "node/budget.h"

namespace asterdrift::node {

// Bodies up to this size are kept whole, so that they can be sent again or wait for a further attempt's
// answer; larger ones pass through.
constexpr std::size_t kWholeBody = 64 * 1024;  // bytes
// Nobody sends more: what is larger is turned away.
constexpr std::size_t kLargestBody = 40 * 1024 * 1024;  // bytes

// One side gives bytes until there is no room, the other takes them. Each is told later, never from within
// its own call, that the other has moved.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using Told = std::function<void()>;

  // With no room left in the budget, a body still passes, in small pieces.
  Stream(boost::asio::io_context& io, ByteBudget& budget);

  // The giver's side.
  bool full() const { return bytes_.size() >= room_; }
  bool dropped() const { return dropped_; }
  void give(std::string_view bytes);
  void end(bool whole);
  void on_room(Told told) { room_told_ = std::move(told); }

  // The taker's side.
  bool empty() const { return bytes_.empty(); }
  bool ended() const { return end_ != End::kOpen; }
  bool whole() const { return end_ == End::kWhole; }
  std::string take();
  void drop();
  void on_bytes(Told told) { bytes_told_ = std::move(told); }

 private:
  enum class End { kOpen, kWhole, kBroken };

  void tell(Told Stream::*whom, bool Stream::*out);

  boost::asio::io_context& io_;
  Claim claim_;
  std::size_t room_;
  std::string bytes_;
  End end_ = End::kOpen;
  bool dropped_ = false, telling_room_ = false, telling_bytes_ = false;
  Told room_told_, bytes_told_;
};

// A chunk as HTTP/1.1 frames it.
std::string chunk_of(const std::string& bytes);
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// For Beast's parsers: a body that is taken out of them as it comes. Their own string body would set aside
// all that a length announces.
struct PieceBody {
  using value_type = std::string;

  class reader {
   public:
    template <bool kRequest, class Fields>
    reader(boost::beast::http::header<kRequest, Fields>&, std::string& pieces) : pieces_(pieces) {}
    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t bytes = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer part = *it;
        pieces_.append(static_cast<const char*>(part.data()), part.size());
        bytes += part.size();
      }
      return bytes;
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    std::string& pieces_;
  };
};

}  // namespace asterdrift::node
