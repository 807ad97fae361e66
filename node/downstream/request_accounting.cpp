#include "node/downstream/request_accounting.h"

#include <utility>

namespace asterdrift::node::downstream {
namespace {

// Counted in place of a status if the client has received no complete response.
constexpr unsigned kNoResponse = 0;

// Whether a response with this status may reject a valid request that has not been passed to the dispatcher.
bool is_rejection(unsigned status) {
  return status == kServiceUnavailable || status == kConflict || status == kPayloadTooLarge;
}

}  // namespace

void RequestAccounting::on_dispatched() {
  ++server_.pending_requests;
  is_dispatched_ = true;
}

void RequestAccounting::on_response_written(std::optional<std::size_t> request_class, unsigned status) {
  if (request_class && (is_dispatched_ || is_rejection(status))) count(*request_class, status);
}

void RequestAccounting::on_connection_closed(std::optional<std::size_t> request_class) {
  if (is_dispatched_) count(*request_class, kNoResponse);
}

void RequestAccounting::count(std::size_t request_class, unsigned status) {
  server_.metrics.count_response(request_class, status);
  if (std::exchange(is_dispatched_, false)) --server_.pending_requests;
}

}  // namespace asterdrift::node::downstream
