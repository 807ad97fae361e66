#include "node/upstream/request_sender.h"

#include <boost/asio/error.hpp>
#include <utility>

#include "node/timing/clock.h"

namespace asterdrift::node::upstream {

void RequestSender::begin(std::shared_ptr<UpstreamRequest> request) {
  request_ = std::move(request);
  writer_.begin(request_, timer_.remaining_ms());
}

void RequestSender::reset() {
  request_.reset();
  writer_.reset();
}

RequestSender::Result RequestSender::send(const std::function<void()>& on_body_stream_consumed) {
  for (;;) {
    if (const std::optional<Result> stopped = write_piece()) return *stopped;
    const bool was_consumed = request_->body_stream_consumed;
    switch (writer_.next()) {
      case RequestWriter::Next::kPiece:
        if (request_->body_stream_consumed && !was_consumed) on_body_stream_consumed();
        break;
      case RequestWriter::Next::kWait:
        return Result::kAwaitsClient;
      case RequestWriter::Next::kTruncated:
        return Result::kTruncated;
      case RequestWriter::Next::kComplete:
        return Result::kComplete;
    }
  }
}

// Returns why the current piece has not been written completely, or nothing if it has.
std::optional<RequestSender::Result> RequestSender::write_piece() {
  while (!writer_.is_piece_written()) {
    if (timing::now() >= timer_.write_deadline()) return Result::kOverdue;
    boost::system::error_code error;
    writer_.advance(socket_.write_some(writer_.buffers(), error));
    if (error == boost::asio::error::would_block) return Result::kBlocked;
    if (error) return Result::kFailed;
    timer_.on_progress();
  }
  return std::nullopt;
}

}  // namespace asterdrift::node::upstream
