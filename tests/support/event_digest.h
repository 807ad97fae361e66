// A digest of a sequence of values.
#pragma once

#include <cstdint>
#include <string_view>

namespace asterdrift::balancer {

// FNV-1a. Sequences that differ have, but for rare collisions, different digests.
class EventDigest {
 public:
  void add(std::uint64_t value);
  void add(double value);  // to a millionth: platforms round exp() differently
  void add(std::string_view text);

  std::uint64_t value() const { return digest_; }

 private:
  std::uint64_t digest_ = 0xCBF29CE484222325ULL;
};

}  // namespace asterdrift::balancer
