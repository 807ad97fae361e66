// Parts of the HTTP/1.1 responses that the node writes.
#pragma once

#include <string>
#include <string_view>

namespace asterdrift::node::http {

// "HTTP/1.1 STATUS REASON", including the CRLF at its end.
std::string status_line(unsigned status);

// Sent to a client whose request is still incomplete when its read timeout expires.
constexpr std::string_view kRequestTimeoutResponse =
    "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

}  // namespace asterdrift::node::http
