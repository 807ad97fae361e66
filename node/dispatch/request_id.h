// Identifies a request within one process of the node.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace asterdrift::node::dispatch {

// Assigned by the dispatcher and never reused, unlike the client's Request-Id header, which a client may
// reuse.
enum class RequestId : std::uint64_t {};

// The attempts of one request are numbered from 0, by the node and by the balancer alike.
using AttemptNumber = int;

// Returns the text that identifies the request in the balancer's events and actions.
std::string to_text(RequestId id);
// Returns nothing if the text is not the result of to_text().
std::optional<RequestId> parse_request_id(std::string_view text);

}  // namespace asterdrift::node::dispatch
