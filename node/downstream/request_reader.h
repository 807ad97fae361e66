// Reads requests from the bytes that arrive on a client's connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "asterdrift/seconds.h"
#include "node/dispatch/messages.h"
#include "node/downstream/receive_rate_monitor.h"
#include "node/downstream/request_error.h"
#include "node/downstream/request_parser.h"
#include "node/downstream/server_state.h"
#include "node/memory/body_stream.h"
#include "node/memory/memory_budget.h"

namespace asterdrift::node::downstream {

// Validates a request when its head is complete, and rejects an invalid request without reading its body.
// Small bodies are buffered; a large body is an upload, which is streamed to the dispatcher while it arrives.
class RequestReader {
 public:
  enum class Result {
    kNeedsMore,      // the request is incomplete
    kPaused,         // nothing is read until the server has taken more bytes of the upload
    kUploadStarted,  // the request has to be dispatched now; later reads stream the rest of its body
    kComplete        // the request, or its upload, is complete
  };

  struct Callbacks {
    // The client expects a "100 Continue" response.
    std::function<void()> send_continue;
    // More of a paused upload can be read. Called from the event loop, never from within read().
    std::function<void()> on_upload_resumed;
  };

  // server has to outlive the reader.
  explicit RequestReader(ServerState& server) : server_(server) {}

  // To be called before the first read().
  void set_callbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }

  // To be called when a request begins to arrive.
  void begin(Seconds now);
  // Reads from `input`, and removes the bytes that have been read. Throws RequestError.
  Result read(std::string& input);
  // How many bytes may be read from the client's socket now.
  std::size_t max_read_bytes() const;
  // Whether nothing may be read until on_upload_resumed() is called.
  bool is_upload_full() const { return upload_ && upload_->is_full(); }
  // Whether bytes of an upload's body have not been parsed yet.
  bool is_upload_arriving() const { return upload_ && !parser_->is_done(); }
  // Releases the memory of the request. An unfinished upload is truncated.
  void release();

  // Valid for a complete request, and for one whose upload has started.
  std::string_view path() const { return RequestValidator::parse_path(parser_->head()); }
  boost::beast::http::verb method() const { return parser_->method(); }
  // Empty unless the request's path is /api.
  const std::optional<dispatch::DownstreamRequest>& api_request() const { return request_; }
  // Moves the request out, with the bytes of its body that have arrived.
  dispatch::DownstreamRequest take_api_request();
  bool has_body() { return !parser_->body().empty(); }
  // To be called when a request without an upload is dispatched.
  void release_parser() { parser_.reset(); }
  // Whether all bytes of the upload that have not been read are among `unread_bytes`.
  bool is_upload_within(std::size_t unread_bytes) const;
  // How many bytes of the body have been read.
  std::uint64_t read_body_bytes() const { return receive_rate_.body_bytes(); }
  // The size of the upload's body if it is known; otherwise the bytes that have been read or are unread.
  std::uint64_t min_body_bytes(std::size_t unread_bytes) const;
  // To be called after the last byte of an upload.
  void finish_upload();

  // Properties of the last request whose head has arrived completely.
  bool is_keep_alive() const { return is_keep_alive_; }
  bool client_reads_chunks() const { return client_reads_chunks_; }
  // The index of the class of the last valid request to /api, until it is cleared.
  const std::optional<std::size_t>& request_class() const { return request_class_; }
  void clear_request_class() { request_class_.reset(); }

  // How quickly the request arrives. All times are on the steady clock.
  Seconds began_at() const { return receive_rate_.began_at(); }
  void resume(Seconds now) { receive_rate_.resume(now); }
  bool is_paused() const { return receive_rate_.is_paused(); }
  // When the request will be too slow if no more of it arrives; see ReceiveRateMonitor. Infinity while the
  // upload waits for the server.
  Seconds receive_deadline() const;

 private:
  void handle_head();
  bool handle_body();
  void begin_upload();
  void set_upstream_body(upstream::UpstreamRequest& upstream_request);

  ServerState& server_;
  Callbacks callbacks_;
  std::optional<RequestParser> parser_;
  std::optional<dispatch::DownstreamRequest> request_;  // a request to /api until it is dispatched
  memory::MemoryReservation body_reservation_;
  std::shared_ptr<memory::BodyStream> upload_;  // receives the rest of a large body
  ReceiveRateMonitor receive_rate_;
  bool is_keep_alive_ = false, client_reads_chunks_ = false;
  std::optional<std::size_t> request_class_;
};

}  // namespace asterdrift::node::downstream
