// An attempt at a server: the request that is forwarded, and its result.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "asterdrift/balancer/events.h"
#include "node/memory/body_stream.h"
#include "node/memory/memory_budget.h"

namespace asterdrift::node::upstream {

// A request as it is forwarded to a server. Shared by the attempts of one request.
struct UpstreamRequest {
  std::string head;           // request line and headers, without Request-Timeout-Ms and the empty line
  std::string buffered_body;  // complete, or its first bytes
  memory::MemoryReservation body_reservation;
  std::shared_ptr<memory::BodyStream> body_stream;  // the bytes that the client still sends; null: none
  bool is_chunked = false;                          // the length of the body is not known
  bool body_stream_consumed = false;                // some of body_stream has been sent, and is not buffered
  // Whether the client still awaits a response; called before bytes are sent. May end the request's attempts.
  std::function<bool()> is_response_awaited;
};

// How an attempt has ended.
struct AttemptEnd {
  balancer::Outcome outcome = balancer::Outcome::kUnknown;
  std::string body, content_type;  // of a successful response that has not been streamed
  memory::MemoryReservation body_reservation;
  double sent_at = 0;  // when the request was complete, where its body took the client's time; else 0
};

// A successful response whose body is streamed, since it is too large or too slow to be buffered.
struct StreamedResponse {
  std::string content_type;
  std::optional<std::uint64_t> content_length;
  std::shared_ptr<memory::BodyStream> body;
  double sent_at = 0;  // see AttemptEnd
};

// How an attempt reports to the dispatcher.
struct AttemptCallbacks {
  std::function<void(AttemptEnd&&)> on_end;  // exactly once
  std::function<void(StreamedResponse&&)> on_response_started;
  std::function<void()> on_body_consumed;  // UpstreamRequest::body_stream_consumed is true from now on
  std::function<void()> on_request_sent;   // the last byte, where the rest took the client's time
};

class Connection;

// Distinguishes the attempts of a connection pool. 0: none.
enum class AttemptSerial : std::uint64_t {};

// Identifies an attempt. Its connection may carry other attempts later.
struct AttemptHandle {
  std::weak_ptr<Connection> connection;
  AttemptSerial serial{};
};

}  // namespace asterdrift::node::upstream
