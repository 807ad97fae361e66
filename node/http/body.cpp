// Encodes the chunks of a chunked body.
#include "node/http/body.h"

#include <array>
#include <cstdio>

namespace asterdrift::node::http {

std::string chunk_head(std::size_t size) {
  std::array<char, 24> text{};
  std::snprintf(text.data(), text.size(), "%zx\r\n", size);
  return text.data();
}

std::string encode_chunk(const std::string& bytes) {
  std::string chunk = chunk_head(bytes.size());
  chunk.reserve(chunk.size() + bytes.size() + kChunkEnd.size());
  return chunk.append(bytes).append(kChunkEnd);
}

}  // namespace asterdrift::node::http
