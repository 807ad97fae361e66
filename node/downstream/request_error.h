// Why a request is rejected before it reaches the balancer.
#pragma once

#include <stdexcept>
#include <string>

#include "node/http/status.h"

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

using http::kBadRequest;
using http::kConflict;
using http::kHeaderFieldsTooLarge;
using http::kMethodNotAllowed;
using http::kNotFound;
using http::kOk;
using http::kPayloadTooLarge;
using http::kServiceUnavailable;
using http::kUriTooLong;

}  // namespace asterdrift::node::downstream
