// Receives the response to an attempt, and buffers or streams its body. Does no I/O.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "asterdrift/seconds.h"
#include "node/memory/body_stream.h"
#include "node/memory/memory_budget.h"
#include "node/upstream/attempt.h"
#include "node/upstream/response_parser.h"

namespace asterdrift::node::upstream {

// Discards the bodies of responses whose status is not 200.
class ResponseReceiver {
 public:
  // What the caller has to do about the bytes received so far.
  enum class BodyState {
    kReceiving,      // no action: the body is buffered, streamed or discarded
    kUnknownLength,  // the body may be long or slow, and is to be buffered only for a limited time
    kTooLarge        // the body has to be streamed
  };

  // io and budget have to outlive the receiver.
  ResponseReceiver(boost::asio::io_context& io, memory::MemoryBudget& budget) : io_(io), budget_(budget) {}

  // Begins the response to a new attempt.
  void begin();
  // Discards the response.
  void reset();

  // on_body is called when the head or bytes of the body have been parsed; it has to call receive_body().
  ResponseParser::Result parse(std::string_view bytes, const std::function<void()>& on_body) {
    return parser_->parse(bytes, on_body);
  }
  BodyState receive_body();
  // See ResponseParser.
  bool finish_at_close() { return parser_->finish_at_close(); }
  bool is_keep_alive() const { return parser_->is_keep_alive(); }
  balancer::Outcome outcome() const { return parser_->outcome(); }

  // Moves the buffered body into a stream, which also receives all bytes that follow. body_stream_sent_at:
  // see UpstreamResult.
  StreamedResponse start_streaming(Seconds body_stream_sent_at, memory::BodyStream::Callback on_writable);
  bool is_streaming() const { return stream_ != nullptr; }
  // Whether no more bytes can be received until the client has taken some of those in the stream.
  bool is_stream_full() const { return stream_ && stream_->is_full(); }
  // How many bytes may be read from the server's socket now.
  std::size_t max_read_bytes() const;
  bool is_stream_abandoned() const { return stream_ && stream_->is_abandoned(); }

  // Ends the response with the attempt: finishes the stream, or moves a successful response into `result`.
  void finish(UpstreamResult& result);

 private:
  boost::asio::io_context& io_;
  memory::MemoryBudget& budget_;
  std::optional<ResponseParser> parser_;
  memory::MemoryReservation reservation_;       // the memory that is reserved for the buffered body
  std::shared_ptr<memory::BodyStream> stream_;  // null until the body is streamed
};

}  // namespace asterdrift::node::upstream
