// Writes a response to the client's socket piece by piece, as its body becomes available.
#include "node/downstream/response_sender.h"

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "node/timing/clock.h"

namespace asterdrift::node::downstream {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// The size of the operating system's send buffer for a streamed response.
constexpr int kStreamSendBufferBytes = 64 * 1024;

// The parts of the buffers behind the first `written` bytes.
std::array<boost::asio::const_buffer, 2> unwritten(std::array<boost::asio::const_buffer, 2> buffers,
                                                   std::size_t written) {
  for (boost::asio::const_buffer& buffer : buffers) {
    const std::size_t written_of_buffer = std::min(written, buffer.size());
    buffer += written_of_buffer;
    written -= written_of_buffer;
  }
  return buffers;
}

}  // namespace

void ResponseSender::send(dispatch::DownstreamResponse&& response, const ResponseWriter::Options& options) {
  writer_.begin(std::move(response), options);
  is_sending_ = true;
  if (writer_.stream()) forward_stream();
  write();
}

void ResponseSender::stop() {
  is_sending_ = false;
  writer_.abandon();
}

void ResponseSender::forward_stream() {
  error_code ignored;
  socket_.set_option(tcp::socket::send_buffer_size(kStreamSendBufferBytes), ignored);
  writer_.stream()->on_readable([this, weak_owner = std::weak_ptr<void>(owner_.keep_alive())] {
    const std::shared_ptr<void> owner = weak_owner.lock();
    if (!owner || !is_sending_ || is_writing_) return;
    owner_.guard([this] { write_next(); });
  });
}

void ResponseSender::observe_progress() {
  progress_.observe(net::send_state(socket_.native_handle()), timing::now());
}

void ResponseSender::write() {
  is_writing_ = true;
  written_bytes_ = 0;
  progress_.begin(timing::now());
  write_available();
}

// Writes until the socket takes no more bytes. A short write does not mean that: the wait for a writable
// socket of an asynchronous write could then last forever, since the event loop is told of changes alone.
void ResponseSender::write_available() {
  error_code error;
  while (!error) {
    auto buffers = unwritten(writer_.buffers(), written_bytes_);
    if (boost::asio::buffer_size(buffers) == 0) return on_piece_written();
    const std::size_t size = socket_.write_some(buffers, error);
    written_bytes_ += size;
    progress_.on_bytes_written(size, timing::now());
    if (progress_.is_observation_due()) observe_progress();
  }
  if (error == boost::asio::error::would_block || error == boost::asio::error::interrupted) {
    return wait_writable();
  }
  post_end([this] { owner_.on_write_failed(); });
}

void ResponseSender::wait_writable() {
  socket_.async_wait(tcp::socket::wait_write, [this, owner = owner_.keep_alive()](const error_code& error) {
    if (!is_sending_) return;
    if (!error) return owner_.guard([this] { write_available(); });
    is_writing_ = false;
    owner_.on_write_failed();
  });
}

// The owner is never notified from within send().
void ResponseSender::on_piece_written() {
  post_end([this] { owner_.guard([this] { write_next(); }); });
}

template <class Step>
void ResponseSender::post_end(Step step) {
  boost::asio::post(socket_.get_executor(), [this, step, owner = owner_.keep_alive()] {
    if (!is_sending_) return;
    is_writing_ = false;
    step();
  });
}

void ResponseSender::write_next() {
  switch (writer_.next()) {
    case ResponseWriter::Next::kPiece:
      return write();
    case ResponseWriter::Next::kWait:
      return;
    case ResponseWriter::Next::kTruncated:
      return owner_.on_response_truncated();
    case ResponseWriter::Next::kComplete:
      is_sending_ = false;
      writer_.reset();
      return owner_.on_response_written();
  }
}

}  // namespace asterdrift::node::downstream
