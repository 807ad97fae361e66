// The identity of a request within one process of the node.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace asterdrift::node::dispatch {

// Assigned by the dispatcher and never reused. It is not the client's Request-Id, which a client may reuse.
enum class RequestId : std::uint64_t {};

// Counts the attempts of one request from 0, as the balancer does.
using AttemptNumber = int;

// The form in which the balancer's events and actions carry an id.
std::string to_text(RequestId id);
// Empty where the text is not an id that to_text() has written.
std::optional<RequestId> parse_request_id(std::string_view text);

}  // namespace asterdrift::node::dispatch
