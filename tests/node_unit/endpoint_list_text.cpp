#include "node_unit/endpoint_list_text.h"

namespace asterdrift::node {

std::string endpoint_entry(int number, const std::string& health) {
  return R"({"host":"s)" + std::to_string(number) + R"(","dial":"10.0.0.1:3000","site":"b","health":")" +
         health + "\"}";
}

std::string endpoint_entries(int count) {
  std::string entries = endpoint_entry(0);
  for (int i = 1; i < count; ++i) entries += "," + endpoint_entry(i);
  return entries;
}

}  // namespace asterdrift::node
