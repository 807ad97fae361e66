// Text of HTTP/1.1 messages.
#pragma once

#include <cstddef>
#include <string>

namespace asterdrift::test_support {

// `head`, a Content-Length field, the end of the header section, and `body`.
std::string with_content_length(const std::string& head, const std::string& body);

// One chunk of a chunked body.
std::string chunk(const std::string& data);

// Head of a response with a chunked body, such as a watch on discovery.
inline const char* const kChunkedResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Size of the first message in `bytes`, its head and a body of Content-Length. 0: not complete yet.
std::size_t complete_message_size(const std::string& bytes);

}  // namespace asterdrift::test_support
