// A client's request and its response, between the downstream server and the request dispatcher.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "asterdrift/balancer/events.h"
#include "node/http/status.h"
#include "node/memory/body_stream.h"
#include "node/memory/memory_budget.h"
#include "node/upstream/attempt.h"

namespace asterdrift::node::dispatch {

// A valid request.
struct DownstreamRequest {
  balancer::Request balancer_request;  // the dispatcher fills in id, time_left and body_arriving
  std::shared_ptr<upstream::UpstreamRequest> upstream_request;
  std::string client_request_id;  // of the client's Request-Id header
  double received_at = 0;         // when its last byte arrived, on the steady clock
  double timeout = 0;             // s, from when the client sent its last byte
  // Whether the client has disconnected; empty where that is not known.
  std::function<bool()> has_client_disconnected;
};

// The final response.
struct DownstreamResponse {
  unsigned status = http::kInternalServerError;
  double retry_after = 0;  // s; 0: no header
  std::string body = {}, content_type = {};
  memory::MemoryReservation body_reservation = {};
  std::shared_ptr<memory::BodyStream> streamed_body = {};  // of a streamed response, in place of body
  std::optional<std::uint64_t> content_length = {};        // of streamed_body, where it is known
};

}  // namespace asterdrift::node::dispatch
