// HTTP/1.1 responses that the node writes itself.
#pragma once

#include <string>
#include <string_view>

namespace asterdrift::node::http {

// "HTTP/1.1 STATUS REASON" with its end of line.
std::string status_line(unsigned status);

// To a peer whose request is incomplete at the end of its time.
constexpr std::string_view kTimeoutResponse =
    "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

}  // namespace asterdrift::node::http
