// Endpoint lists as discovery writes them.
#pragma once

#include <string>

namespace asterdrift::node {

// The JSON entry of an endpoint in zone "b".
std::string endpoint_entry(int number, const std::string& health = "active");

// The entries 0 to count - 1, separated by commas.
std::string endpoint_entries(int count);

}  // namespace asterdrift::node
