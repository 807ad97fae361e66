#include "support/random.h"

namespace asterdrift::support {

std::uint64_t Random::next() {
  std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

std::uint64_t hash_text(std::string_view text) {
  std::uint64_t hash = 0xCBF29CE484222325ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
  return Random(hash).next();
}

}  // namespace asterdrift::support
