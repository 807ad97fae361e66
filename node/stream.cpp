#include "node/stream.h"

#include <boost/asio/post.hpp>
#include <cstdio>
#include <utility>

namespace asterdrift::node {
namespace {

constexpr std::size_t kRoom = 64 * 1024;       // bytes
constexpr std::size_t kLeastRoom = 16 * 1024;  // bytes, where the budget is spent

}  // namespace

Stream::Stream(boost::asio::io_context& io, ByteBudget& budget)
    : io_(io), claim_(budget), room_(claim_.grow_to(kRoom) ? kRoom : kLeastRoom) {}

void Stream::give(std::string_view bytes) {
  if (dropped_ || bytes.empty()) return;
  bytes_.append(bytes);
  tell(&Stream::bytes_told_, &Stream::telling_bytes_);
}

void Stream::end(bool whole) {
  if (ended()) return;
  end_ = whole ? End::kWhole : End::kBroken;
  room_told_ = nullptr;
  tell(&Stream::bytes_told_, &Stream::telling_bytes_);
}

std::string Stream::take() {
  tell(&Stream::room_told_, &Stream::telling_room_);
  return std::exchange(bytes_, {});
}

void Stream::drop() {
  dropped_ = true;
  bytes_told_ = nullptr;
  std::string().swap(bytes_);
  tell(&Stream::room_told_, &Stream::telling_room_);
}

void Stream::tell(Told Stream::*whom, bool Stream::*out) {
  if (std::exchange(this->*out, true)) return;
  boost::asio::post(io_, [self = shared_from_this(), whom, out] {
    (*self).*out = false;
    if (const Told told = (*self).*whom) told();
  });
}

std::string chunk_of(const std::string& bytes) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace asterdrift::node
