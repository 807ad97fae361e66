// A request that the dispatcher has taken, and its attempts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <vector>

#include "asterdrift/balancer/events.h"
#include "node/dispatch/messages.h"
#include "node/dispatch/request_id.h"
#include "node/upstream/attempt.h"

namespace asterdrift::node::dispatch {

using ResponseCallback = std::function<void(DownstreamResponse&&)>;

// One attempt of a request at a server.
struct Attempt {
  enum class State {
    kOpen,       // has not ended; may have run
    kNeverRan,   // has ended, and no server has begun to handle it
    kMayHaveRun  // has ended
  };

  bool is_open() const { return state == State::kOpen; }
  bool may_have_run() const { return state != State::kNeverRan; }
  void end(balancer::Outcome outcome);

  upstream::AttemptHandle handle;
  double sent_at = 0;  // on the steady clock
  State state = State::kOpen;
};

// A request from its dispatch until it has its final response and no open attempt.
struct InFlightRequest {
  InFlightRequest(boost::asio::io_context& io, RequestId id, DownstreamRequest&& downstream,
                  ResponseCallback&& callback);

  // Whether the client still awaits the final response.
  bool is_open() const { return on_response != nullptr; }
  bool has_open_attempts() const;
  // Whether a server may have begun to handle the request.
  bool may_have_run() const;
  // Whether the attempt that was added last may be sent. Nothing is sent for a request that has its final
  // response, nor for a client that has disconnected. A body that is not buffered completely cannot be sent a
  // second time, nor on two connections at once.
  bool may_send_last_attempt() const;

  // Returns the number of a new attempt.
  AttemptNumber add_attempt(double sent_at);
  // Null for a number that no attempt has.
  Attempt* find_attempt(AttemptNumber number);

  const RequestId id;
  DownstreamRequest request;
  ResponseCallback on_response;  // empty once the request has its final response
  boost::asio::steady_timer deadline;
  std::vector<Attempt> attempts;
};

}  // namespace asterdrift::node::dispatch
