#include "node/dispatch/request_deadline.h"

#include <algorithm>

namespace asterdrift::node::dispatch {
namespace {

// Time reserved for the transfers between client and node, and its upper limit as a fraction of the timeout.
constexpr Seconds kTransferReserve = 0.025;
constexpr double kMaxTransferReserveFraction = 0.25;
// The fraction of the reserve that is left for a response of the node itself.
constexpr double kResponseReserveFraction = 0.4;

}  // namespace

RequestDeadline::RequestDeadline(Seconds received_at, Seconds timeout)
    : expires_at_(received_at + timeout),
      reserve_(std::min(kTransferReserve, timeout * kMaxTransferReserveFraction)) {}

Seconds RequestDeadline::attempts_end_at() const { return expires_at_ - reserve_; }

Seconds RequestDeadline::final_response_at() const {
  return expires_at_ - reserve_ * kResponseReserveFraction;
}

}  // namespace asterdrift::node::dispatch
