// Why a request is rejected before it reaches the balancer.
#pragma once

#include <stdexcept>
#include <string>

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

// HTTP statuses of the node's own responses.
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kConflict = 409;
constexpr unsigned kPayloadTooLarge = 413;
constexpr unsigned kUriTooLong = 414;
constexpr unsigned kHeaderFieldsTooLarge = 431;
constexpr unsigned kServiceUnavailable = 503;

}  // namespace asterdrift::node::downstream
