// An attempt to execute a request on a server: the request that is forwarded, and its result.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "asterdrift/balancer/events.h"
#include "asterdrift/seconds.h"
#include "node/memory/body_stream.h"
#include "node/memory/memory_budget.h"

namespace asterdrift::node::upstream {

// A request as it is forwarded to a server. Shared by the attempts of one request.
struct UpstreamRequest {
  std::string head;  // request line and headers, without Request-Timeout-Ms and the empty line
  // The complete body, or the first bytes of a body whose other bytes follow in body_stream.
  std::string buffered_body;
  memory::MemoryReservation body_reservation;
  // The bytes of the body that the client is still sending. Null: buffered_body is the complete body.
  std::shared_ptr<memory::BodyStream> body_stream;
  bool is_chunked = false;  // the length of the body is not known
  // Whether bytes of body_stream were sent, and are not buffered any more.
  bool body_stream_consumed = false;
  // To be called before bytes of body_stream are sent. The request cannot be sent again from now on, so the
  // memory of buffered_body, which has been sent, is freed.
  void consume_body_stream() {
    body_stream_consumed = true;
    std::string().swap(buffered_body);
    body_reservation.release();
  }
  // Whether the client still awaits a response. Called before bytes are sent. The call may end attempts of
  // the request.
  std::function<bool()> is_response_awaited;
};

// The result of an attempt that has ended.
struct UpstreamResult {
  balancer::Outcome outcome = balancer::Outcome::kUnknown;
  // The body and content type of a successful response that has not been streamed.
  std::string body, content_type;
  memory::MemoryReservation body_reservation;
  // When the last byte of body_stream was sent, on the steady clock. 0: the request has no body_stream, or it
  // has not been sent completely.
  Seconds body_stream_sent_at = 0;
};

// A successful response whose body is streamed, since it is too large or too slow to be buffered.
struct StreamedResponse {
  std::string content_type;
  std::optional<std::uint64_t> content_length;  // empty: not known
  std::shared_ptr<memory::BodyStream> body;
  Seconds body_stream_sent_at = 0;  // see UpstreamResult
};

// The events of an attempt that the dispatcher is notified of.
struct AttemptCallbacks {
  std::function<void(UpstreamResult&&)> on_result;  // called exactly once
  std::function<void(StreamedResponse&&)> on_response_started;
  std::function<void()> on_body_stream_consumed;  // UpstreamRequest::body_stream_consumed has become true
  std::function<void()> on_body_stream_sent;  // the last byte of UpstreamRequest::body_stream has been sent
};

class Connection;

// Identifies an attempt within a connection pool. 0: no attempt.
enum class AttemptId : std::uint64_t {};

// Refers to an attempt. The connection may carry other attempts after this one.
struct AttemptHandle {
  std::weak_ptr<Connection> connection;
  AttemptId attempt_id{};
};

}  // namespace asterdrift::node::upstream
