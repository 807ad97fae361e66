// Implementations of splitmix64 and FNV-1a.
#include "support/random.h"

namespace asterdrift::support {

std::uint64_t Random::next() {
  state_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t hash_text(std::string_view text) {
  std::uint64_t hash = 0xCBF29CE484222325ULL;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001B3ULL;
  }
  return Random(hash).next();
}

}  // namespace asterdrift::support
