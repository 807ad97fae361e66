// Why a request is rejected before it reaches the balancer.
#pragma once

#include <stdexcept>
#include <string>

#include "node/base/http_status.h"

namespace asterdrift::node::downstream {

// A request that cannot be used, or that this node has no memory for. It reaches no server. The message, if
// there is one, is the body of the response.
class RequestError : public std::runtime_error {
 public:
  explicit RequestError(unsigned status, const std::string& message = {})
      : std::runtime_error(message), status_(status) {}

  unsigned status() const { return status_; }

 private:
  unsigned status_;
};

using base::kBadRequest;
using base::kConflict;
using base::kHeaderFieldsTooLarge;
using base::kMethodNotAllowed;
using base::kNotFound;
using base::kOk;
using base::kPayloadTooLarge;
using base::kServiceUnavailable;
using base::kUriTooLong;

}  // namespace asterdrift::node::downstream
