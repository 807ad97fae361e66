// Reads header fields of messages in a soak run.
#pragma once

#include <cstddef>
#include <string>

namespace asterdrift::soak {

// The value of a field as the node writes it; empty without the field.
std::string text_field(const std::string& head, const std::string& name);
// 0 without the field.
std::size_t number_field(const std::string& head, const std::string& name);
// Of a response's first line.
int status_of(const std::string& response);

}  // namespace asterdrift::soak
