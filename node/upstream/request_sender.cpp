// Writes a request until it is complete, or until the socket or the client has to be awaited.
#include "node/upstream/request_sender.h"

#include <boost/asio/error.hpp>
#include <utility>

#include "node/timing/clock.h"

namespace asterdrift::node::upstream {

void RequestSender::begin(std::shared_ptr<UpstreamRequest> request) {
  request_ = std::move(request);
  progress_.begin(timing::now());
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

void RequestSender::observe_progress() {
  progress_.observe(net::send_state(socket_.native_handle()), timing::now());
}

// Returns why the current piece has not been written completely, or nothing if the piece has been written.
std::optional<RequestSender::Result> RequestSender::write_piece() {
  while (!serializer_.is_piece_written()) {
    if (timing::now() >= timer_.write_deadline()) return Result::kOverdue;
    boost::system::error_code error;
    const std::size_t size = socket_.write_some(serializer_.buffers(), error);
    serializer_.advance(size);
    progress_.on_bytes_written(size, timing::now());
    if (progress_.is_observation_due()) observe_progress();
    if (error == boost::asio::error::would_block) return Result::kBlocked;
    if (error == boost::asio::error::interrupted) continue;
    if (error) return Result::kFailed;
    timer_.on_progress();
  }
  return std::nullopt;
}

}  // namespace asterdrift::node::upstream
