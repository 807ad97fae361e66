// A request that the dispatcher has accepted, and its attempts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <vector>

#include "asterdrift/balancer/events.h"
#include "asterdrift/seconds.h"
#include "node/dispatch/messages.h"
#include "node/dispatch/request_id.h"
#include "node/upstream/attempt.h"

namespace asterdrift::node::dispatch {

using ResponseCallback = std::function<void(DownstreamResponse&&)>;

// One attempt to execute a request on a server.
struct Attempt {
  enum class State {
    kOpen,       // has not ended; a server may have begun to handle it
    kNeverRan,   // has ended, and no server has begun to handle it
    kMayHaveRun  // has ended, and a server may have begun to handle it
  };

  bool is_open() const { return state == State::kOpen; }
  bool may_have_run() const { return state != State::kNeverRan; }
  void end(balancer::Outcome outcome);

  upstream::AttemptHandle handle;
  Seconds sent_at = 0;  // time on the steady clock at which the attempt was sent
  State state = State::kOpen;
};

// A request from its dispatch until it has its final response and no open attempt.
struct InFlightRequest {
  InFlightRequest(boost::asio::io_context& io, RequestId request_id, DownstreamRequest&& downstream,
                  ResponseCallback&& callback);

  // Whether the request has no final response yet, and its client has not disconnected.
  bool awaits_response() const { return on_response != nullptr; }
  bool has_open_attempts() const;
  // Whether a server may have begun to handle the request.
  bool may_have_run() const;
  // Whether the most recently added attempt may be sent. Nothing is sent for a request that has its final
  // response, or for a client that has disconnected. A body that is not buffered completely cannot be sent a
  // second time, nor on two connections at once.
  bool may_send_last_attempt() const;

  // Returns the number of a new attempt.
  AttemptNumber add_attempt(Seconds sent_at);
  // Null if no attempt has this number.
  Attempt* find_attempt(AttemptNumber number);

  const RequestId id;
  DownstreamRequest downstream_request;
  // Whether the last byte of a body that was arriving at the dispatch has arrived since then.
  bool has_body_arrived = false;
  ResponseCallback on_response;  // empty once the request has its final response or its client is gone
  boost::asio::steady_timer deadline_timer;
  std::vector<Attempt> attempts;
};

}  // namespace asterdrift::node::dispatch
