// Entries of endpoint lists in the JSON format of discovery.
#pragma once

#include <string>

namespace asterdrift::node {

// The JSON entry of the endpoint "s<number>" in zone "b".
std::string endpoint_entry(int number, const std::string& health = "active");

// The entries with the numbers 0 to count - 1, separated by commas.
std::string endpoint_entries(int count);

}  // namespace asterdrift::node
