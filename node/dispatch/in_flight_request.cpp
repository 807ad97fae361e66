#include "node/dispatch/in_flight_request.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace asterdrift::node::dispatch {
namespace {

using balancer::Outcome;

// Whether an attempt with this outcome was certainly not begun by any server.
bool proves_never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

}  // namespace

void Attempt::end(Outcome outcome) {
  state = proves_never_ran(outcome) ? State::kNeverRan : State::kMayHaveRun;
}

InFlightRequest::InFlightRequest(boost::asio::io_context& io, RequestId request_id,
                                 DownstreamRequest&& downstream, ResponseCallback&& callback)
    : id(request_id),
      downstream_request(std::move(downstream)),
      on_response(std::move(callback)),
      deadline_timer(io) {}

bool InFlightRequest::has_open_attempts() const { return std::ranges::any_of(attempts, &Attempt::is_open); }

bool InFlightRequest::may_have_run() const { return std::ranges::any_of(attempts, &Attempt::may_have_run); }

bool InFlightRequest::may_send_last_attempt() const {
  const upstream::UpstreamRequest& upstream_request = *downstream_request.upstream_request;
  const bool another_is_open = std::any_of(attempts.begin(), attempts.end() - 1,
                                           [](const Attempt& attempt) { return attempt.is_open(); });
  return upstream_request.is_response_awaited() && !upstream_request.body_stream_consumed &&
         !(upstream_request.body_stream && another_is_open);
}

AttemptNumber InFlightRequest::add_attempt(Seconds sent_at) {
  attempts.push_back({.handle = {}, .sent_at = sent_at});
  return static_cast<AttemptNumber>(attempts.size() - 1);
}

Attempt* InFlightRequest::find_attempt(AttemptNumber number) {
  const auto index = static_cast<std::size_t>(number);
  return number < 0 || index >= attempts.size() ? nullptr : &attempts[index];
}

}  // namespace asterdrift::node::dispatch
