// How much of a client's time is left for a request.
#pragma once

namespace asterdrift::node::dispatch {

// A client's timeout covers the time from sending its request to receiving the last byte of the response. A
// fraction of it is reserved for the transfers between client and node.
class RequestDeadline {
 public:
  // received_at: when the request was received completely, in seconds on the steady clock. timeout: the
  // client's, in seconds.
  RequestDeadline(double received_at, double timeout);

  // By when the balancer has to be done with the request.
  double attempts_end_at() const;
  // When the node itself responds where the balancer has not ended the request.
  double final_response_at() const;

 private:
  double expires_at_;  // for the client
  double reserve_;     // s
};

}  // namespace asterdrift::node::dispatch
