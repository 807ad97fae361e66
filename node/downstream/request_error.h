// The error for requests that are rejected before they reach the balancer.
#pragma once

#include <stdexcept>
#include <string>

#include "node/http/status.h"

namespace asterdrift::node::downstream {

// Thrown for a request that is invalid, or that this node cannot serve now, for example for lack of memory.
// The request is not forwarded. The message, unless it is empty, becomes the body of the response.
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
