// Parses header fields and status codes of HTTP messages in a soak run.
#pragma once

#include <cstddef>
#include <string>

namespace asterdrift::soak {

// The value of a header field whose name is spelled as the node writes it; empty if there is no such field.
std::string header_field(const std::string& head, const std::string& name);
// The value of a numeric header field; 0 if there is no such field.
std::size_t numeric_header_field(const std::string& head, const std::string& name);
// The status code in the first line of a response; 0 if the line is too short.
int parse_status(const std::string& response);

}  // namespace asterdrift::soak
