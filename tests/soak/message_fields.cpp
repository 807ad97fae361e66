#include "soak/message_fields.h"

#include <cstdlib>

namespace asterdrift::soak {

std::string header_field(const std::string& head, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const std::size_t position = head.find(start);
  if (position == std::string::npos) return {};
  const std::size_t begin = position + start.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::size_t numeric_header_field(const std::string& head, const std::string& name) {
  return std::strtoul(header_field(head, name).c_str(), nullptr, 10);
}

int parse_status(const std::string& response) {
  constexpr std::size_t kStatusPosition = 9;  // the status follows "HTTP/1.1 "
  return response.size() > kStatusPosition ? std::atoi(response.c_str() + kStatusPosition) : 0;
}

}  // namespace asterdrift::soak
