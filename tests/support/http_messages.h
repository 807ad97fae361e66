// Composes HTTP/1.1 messages, and finds the end of a message.
#pragma once

#include <cstddef>
#include <string>

namespace asterdrift::test_support {

// Returns `head`, followed by a Content-Length field, the end of the header section, and `body`.
std::string with_content_length(const std::string& head, const std::string& body);

// Returns `data` as one chunk of a chunked body.
std::string chunk(const std::string& data);

// Head of a response with a chunked body, such as the discovery service's response to a watch.
inline const char* const kChunkedResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Returns the size of the first message in `bytes`, which consists of a head and a body of Content-Length
// bytes. Returns 0 if the message is not complete yet.
std::size_t complete_message_size(const std::string& bytes);

}  // namespace asterdrift::test_support
