// Writes a request until it is complete, or until the socket or the client has to be awaited.
#include "node/upstream/request_sender.h"

#include <boost/asio/error.hpp>
#include <utility>

#include "node/timing/clock.h"

namespace asterdrift::node::upstream {

void RequestSender::begin(std::shared_ptr<UpstreamRequest> request) {
  request_ = std::move(request);
  serializer_.begin(request_, timer_.remaining_ms());
}

void RequestSender::reset() {
  request_.reset();
  serializer_.reset();
}

RequestSender::Result RequestSender::send(const std::function<void()>& on_body_stream_consumed) {
  for (;;) {
    if (const std::optional<Result> stopped = write_piece()) return *stopped;
    const bool was_consumed = request_->body_stream_consumed;
    switch (serializer_.next()) {
      case RequestSerializer::Next::kPiece:
        if (request_->body_stream_consumed && !was_consumed) on_body_stream_consumed();
        break;
      case RequestSerializer::Next::kWait:
        return Result::kAwaitsClient;
      case RequestSerializer::Next::kTruncated:
        return Result::kTruncated;
      case RequestSerializer::Next::kComplete:
        return Result::kComplete;
    }
  }
}

// Returns why the current piece has not been written completely, or nothing if the piece has been written.
std::optional<RequestSender::Result> RequestSender::write_piece() {
  while (!serializer_.is_piece_written()) {
    if (timing::now() >= timer_.write_deadline()) return Result::kOverdue;
    boost::system::error_code error;
    serializer_.advance(socket_.write_some(serializer_.buffers(), error));
    if (error == boost::asio::error::would_block) return Result::kBlocked;
    if (error == boost::asio::error::interrupted) continue;
    if (error) return Result::kFailed;
    timer_.on_progress();
  }
  return std::nullopt;
}

}  // namespace asterdrift::node::upstream
