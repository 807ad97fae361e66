#include "node/dispatch/request_deadline.h"

#include <algorithm>

namespace asterdrift::node::dispatch {
namespace {

constexpr double kTransferReserve = 0.025;            // s
constexpr double kMaxTransferReserveFraction = 0.25;  // of the timeout
constexpr double kResponseFraction = 0.4;             // of the reserve, for the node's own response

}  // namespace

RequestDeadline::RequestDeadline(double received_at, double timeout)
    : expires_at_(received_at + timeout),
      reserve_(std::min(kTransferReserve, timeout * kMaxTransferReserveFraction)) {}

double RequestDeadline::attempts_end_at() const { return expires_at_ - reserve_; }

double RequestDeadline::final_response_at() const { return expires_at_ - reserve_ * kResponseFraction; }

}  // namespace asterdrift::node::dispatch
