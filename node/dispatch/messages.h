// A client's request and its response, as the downstream server and the request dispatcher exchange them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "asterdrift/balancer/events.h"
#include "asterdrift/seconds.h"
#include "node/http/status.h"
#include "node/memory/body_stream.h"
#include "node/memory/memory_budget.h"
#include "node/upstream/attempt.h"

namespace asterdrift::node::dispatch {

// A client's request whose head has been validated.
struct DownstreamRequest {
  balancer::Request balancer_request;  // the dispatcher sets id, time_left and body_arriving
  std::shared_ptr<upstream::UpstreamRequest> upstream_request;
  std::string client_request_id;  // the value of the client's Request-Id header
  Seconds received_at = 0;        // when the last byte of the request arrived, on the steady clock
  // The request's timeout, which counts from when the client sent the last byte of the request.
  Seconds timeout = 0;
  // Whether the client has disconnected. Empty if that is not known.
  std::function<bool()> has_client_disconnected;
};

// The final response to a client's request.
struct DownstreamResponse {
  unsigned status = http::kInternalServerError;
  Seconds retry_after = 0;  // 0: no Retry-After header
  std::string body = {}, content_type = {};
  memory::MemoryReservation body_reservation = {};
  std::shared_ptr<memory::BodyStream> streamed_body = {};  // replaces `body` if the response is streamed
  // The length of streamed_body in bytes; empty: not known.
  std::optional<std::uint64_t> content_length = {};
};

}  // namespace asterdrift::node::dispatch
