// Composes HTTP/1.1 messages, and finds the end of a message.
#include "support/http_messages.h"

#include <strings.h>

#include <cstdlib>
#include <sstream>
#include <string_view>

namespace asterdrift::test_support {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLengthField = "content-length:";

// Returns the Content-Length of a message whose head ends at `head_end`, or 0 if the field is missing.
std::size_t body_size(const std::string& bytes, std::size_t head_end) {
  std::size_t size = 0;
  std::size_t line = bytes.find(kLineEnd) + kLineEnd.size();
  while (line < head_end) {
    if (strncasecmp(bytes.data() + line, kLengthField.data(), kLengthField.size()) == 0) {
      size = std::strtoul(bytes.data() + line + kLengthField.size(), nullptr, 10);
    }
    line = bytes.find(kLineEnd, line) + kLineEnd.size();
  }
  return size;
}

}  // namespace

std::string with_content_length(const std::string& head, const std::string& body) {
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string& data) {
  std::ostringstream out;
  out << std::hex << data.size() << kLineEnd << data << kLineEnd;
  return out.str();
}

std::size_t complete_message_size(const std::string& bytes) {
  const std::size_t head_end = bytes.find(kHeadEnd);
  if (head_end == std::string::npos) return 0;
  const std::size_t size = head_end + kHeadEnd.size() + body_size(bytes, head_end);
  return bytes.size() >= size ? size : 0;
}

}  // namespace asterdrift::test_support
