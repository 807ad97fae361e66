#include "node/downstream/response_sender.h"

#include <boost/asio/write.hpp>
#include <utility>

namespace asterdrift::node::downstream {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// The size of the operating system's send buffer for a streamed response.
constexpr int kStreamSendBufferBytes = 64 * 1024;

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

void ResponseSender::write() {
  is_writing_ = true;
  const auto on_written = [this, owner = owner_.keep_alive()](const error_code& error, std::size_t) {
    if (!is_sending_) return;
    is_writing_ = false;
    if (error) return owner_.on_write_failed();
    owner_.guard([this] { write_next(); });
  };
  boost::asio::async_write(socket_, writer_.buffers(), on_written);
}

void ResponseSender::write_next() {
  switch (writer_.next()) {
    case ResponseWriter::Next::kPiece:
      owner_.on_response_progress();
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
