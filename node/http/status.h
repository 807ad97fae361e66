// The HTTP status codes that the node sends, or distinguishes in responses.
#pragma once

namespace asterdrift::node::http {

constexpr unsigned kContinue = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kConflict = 409;
constexpr unsigned kPayloadTooLarge = 413;
constexpr unsigned kUriTooLong = 414;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kHeaderFieldsTooLarge = 431;
constexpr unsigned kInternalServerError = 500;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace asterdrift::node::http
