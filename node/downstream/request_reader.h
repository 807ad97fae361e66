// Reads one client's requests from the bytes of its connection.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "node/dispatch/messages.h"
#include "node/downstream/receive_pace.h"
#include "node/downstream/request_error.h"
#include "node/downstream/request_parser.h"
#include "node/downstream/server_state.h"
#include "node/memory/body_stream.h"
#include "node/memory/memory_budget.h"

namespace asterdrift::node::downstream {

// Validates a request as soon as its head is complete, and rejects invalid ones without reading their bodies.
// Buffers small bodies, and streams large ones to the dispatcher while they arrive.
class RequestReader {
 public:
  enum class Result {
    kNeedsMore,  // bytes
    kPaused,     // until the server has taken more of the upload
    kUpload,     // the request is to be dispatched; its body follows by later reads
    kComplete    // the request, or its upload
  };

  struct Callbacks {
    std::function<void()> send_continue;  // the client expects 100 Continue
    std::function<void()>
        on_upload_resumed;  // more of an upload may be read; later, never from within read()
  };

  // server has to outlive the reader.
  explicit RequestReader(ServerState& server) : server_(server) {}

  // Before the first read().
  void set_callbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }

  // A request begins to arrive.
  void begin(double now);
  // Reads from `input`, and removes what it has read. Throws RequestError.
  Result read(std::string& input);
  // Releases the memory of the request. An upload is truncated.
  void release();

  // Of a complete request or an upload.
  std::string_view path() const { return RequestValidator::path_of(parser_->head()); }
  boost::beast::http::verb method() const { return parser_->method(); }
  const std::optional<dispatch::DownstreamRequest>& api_request() const { return request_; }  // to /api
  // The request to be dispatched, with the bytes of its body that have arrived.
  dispatch::DownstreamRequest take_api_request();
  bool has_body() { return !parser_->body().empty(); }
  // After the request has been dispatched without an upload.
  void release_parser() { parser_.reset(); }
  // After the last byte of an upload.
  void finish_upload();

  // Of the last request whose head was complete.
  bool is_keep_alive() const { return is_keep_alive_; }
  bool client_reads_chunks() const { return client_reads_chunks_; }
  // Index of the class of a valid request to /api, until it is cleared.
  const std::optional<std::size_t>& request_class() const { return request_class_; }
  void clear_request_class() { request_class_.reset(); }

  // How quickly the request arrives. Times in seconds on the steady clock.
  double began_at() const { return pace_.began_at(); }
  void resume(double now) { pace_.resume(now); }
  bool is_paused() const { return pace_.is_paused(); }
  // When the request will be too slow, if no more of it arrives; infinity while it waits for the server.
  double too_slow_at() const;

 private:
  void handle_head();
  bool handle_body();
  void begin_upload();
  void set_upstream_body(upstream::UpstreamRequest& upstream_request);

  ServerState& server_;
  Callbacks callbacks_;
  std::optional<RequestParser> parser_;
  std::optional<dispatch::DownstreamRequest> request_;  // until it is dispatched
  memory::MemoryReservation body_reservation_;
  std::shared_ptr<memory::BodyStream> upload_;  // the rest of the body
  ReceivePace pace_;
  bool is_keep_alive_ = false, client_reads_chunks_ = false;
  std::optional<std::size_t> request_class_;
};

}  // namespace asterdrift::node::downstream
