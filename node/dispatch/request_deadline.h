// The deadlines of one request, derived from its client's timeout.
#pragma once

#include "asterdrift/seconds.h"

namespace asterdrift::node::dispatch {

// A client's timeout covers the time from sending its request to receiving the last byte of the response. A
// fraction of it is reserved for the transfers between client and node. All times are on the steady clock.
class RequestDeadline {
 public:
  // received_at: when the last byte of the request arrived. timeout: the client's.
  RequestDeadline(Seconds received_at, Seconds timeout);

  // The time at which the last attempt of the request has to end.
  Seconds attempts_end_at() const;
  // The time at which the node itself responds if the balancer has not ended the request.
  Seconds final_response_at() const;

 private:
  Seconds expires_at_;  // when the client stops waiting
  Seconds reserve_;
};

}  // namespace asterdrift::node::dispatch
