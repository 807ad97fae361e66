// Encodes the chunks of a chunked body.
#include "node/http/body.h"

#include <array>
#include <cstdio>

namespace asterdrift::node::http {

std::string encode_chunk(const std::string& bytes) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

}  // namespace asterdrift::node::http
