// The events that a Balancer handles. The host reports events in the order in which they happen.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "asterdrift/seconds.h"

namespace asterdrift::balancer {

// The replica has started. This is the first event; its actions request what the replica needs.
struct ReplicaStarted {};

// A downstream request needs an endpoint. `id` is unique among requests that have not ended.
struct Request {
  std::string id;
  std::size_t tenant = 0;                 // index into Settings::tenants
  std::size_t request_class = 0;          // index into Settings::classes
  Seconds time_left = 0;                  // time until the client gives up
  std::optional<Seconds> announced_work;  // time that the request takes on a standard core
  bool is_client_retry = false;           // the client marked the request as a retry of its own
  bool body_arriving = false;             // the body is incomplete; RequestBodySent follows
};

// How an attempt ended.
enum class Outcome {
  kSuccess,          // the response can be forwarded to the client
  kServerError,      // the response is an error of the server
  kRejected,         // the server is full or draining, and has not begun to execute the request
  kTimedOut,         // no response within the attempt's timeout
  kConnectFailed,    // no connection was established
  kConnectionReset,  // the connection broke during the attempt
  kCancelled,        // cancelled by CancelAttempt
  kNotSent,          // nothing was sent
  kUnknown           // anything else: the request may have been executed
};

// A streamed response has begun, and is being forwarded to the client.
struct ResponseStarted {
  std::string id;
  int attempt = 0;
  Seconds elapsed = 0;  // time since the attempt was sent
};

// The last byte of a request whose body was arriving has been sent on an attempt. The server cannot begin
// earlier, so the request's deadline moves by the time from the start of the attempt to this event.
struct RequestBodySent {
  std::string id;
  int attempt = 0;
};

// A part of the request's body has been sent and is not buffered: the request cannot be sent again.
struct RequestBodyConsumed {
  std::string id;
};

// An attempt has ended. Each SendAttempt is followed by exactly one AttemptResult.
struct AttemptResult {
  std::string id;
  int attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  Seconds elapsed = 0;        // time since the attempt was sent
  bool request_done = false;  // the request needs no further response
};

// The client has disconnected, or its timeout has expired: no response is needed any more.
struct RequestAborted {
  std::string id;
};

// Whether an endpoint accepts new requests.
enum class EndpointState { kReady, kDraining, kRemoved };

// One server process, as discovery lists it.
struct Endpoint {
  std::string address;  // identifies the endpoint at every replica
  int zone = 0;
  int cell = 0;
  double weight = 1;       // capacity relative to other endpoints
  Seconds started_at = 0;  // when the process last started; 0: long ago
  EndpointState state = EndpointState::kReady;
};

// The endpoint list has changed, or watching or polling the list has failed.
struct EndpointUpdate {
  enum class Form {
    kIncremental,  // only the endpoints that have changed
    kSnapshot,     // the complete list: endpoints that it does not contain have been removed
    kWatchFailed   // polling failed or the watch broke; the known endpoints stay
  };
  Form form = Form::kSnapshot;
  std::vector<Endpoint> endpoints;
};

// A timer requested by SetTimer has expired.
struct TimerFired {
  std::uint64_t token = 0;
};

// Any event.
using Event = std::variant<ReplicaStarted, Request, ResponseStarted, RequestBodySent, RequestBodyConsumed,
                           AttemptResult, RequestAborted, EndpointUpdate, TimerFired>;

}  // namespace asterdrift::balancer
