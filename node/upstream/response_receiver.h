// Receives the response to an attempt: buffers its body, or streams it. No I/O.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "node/memory/body_stream.h"
#include "node/memory/memory_budget.h"
#include "node/upstream/attempt.h"
#include "node/upstream/response_parser.h"

namespace asterdrift::node::upstream {

// Bodies of error responses are discarded.
class ResponseReceiver {
 public:
  // How the body is to be received.
  enum class BodyState {
    kBuffered,
    kUnknownLength,  // may be long or slow: to be buffered for a limited time
    kTooLarge        // to be streamed
  };

  // io and budget have to outlive the receiver.
  ResponseReceiver(boost::asio::io_context& io, memory::MemoryBudget& budget) : io_(io), budget_(budget) {}

  // A new attempt begins.
  void begin();
  // Discards the response.
  void reset();

  // on_body is called when bytes of the body have been parsed; it calls receive_body().
  ResponseParser::Result parse(std::string_view bytes, const std::function<void()>& on_body) {
    return parser_->parse(bytes, on_body);
  }
  BodyState receive_body();
  // See ResponseParser.
  bool finish_at_close() { return parser_->finish_at_close(); }
  bool is_keep_alive() const { return parser_->is_keep_alive(); }
  balancer::Outcome outcome() const { return parser_->outcome(); }

  // Moves the buffered body into a stream, as all bytes that follow. sent_at: see AttemptEnd.
  StreamedResponse start_streaming(double sent_at, memory::BodyStream::Callback on_writable);
  bool is_streaming() const { return stream_ != nullptr; }
  // Whether no more can be received until the client has taken some of the stream.
  bool is_stream_full() const { return stream_ && stream_->is_full(); }
  bool is_stream_abandoned() const { return stream_ && stream_->is_abandoned(); }

  // The attempt has ended: finishes the stream, or moves a successful response into `end`.
  void finish(AttemptEnd& end);

 private:
  boost::asio::io_context& io_;
  memory::MemoryBudget& budget_;
  std::optional<ResponseParser> parser_;
  memory::MemoryReservation reservation_;       // for a buffered body
  std::shared_ptr<memory::BodyStream> stream_;  // null until the body is streamed
};

}  // namespace asterdrift::node::upstream
