// A digest of a sequence of values, for comparing the decisions of two runs.
#pragma once

#include <cstdint>
#include <string_view>

namespace asterdrift::balancer {

// FNV-1a digest. Different sequences have different digests, except for rare collisions.
class EventDigest {
 public:
  void add(std::uint64_t value);
  void add(double value);  // rounded to a millionth, because platforms round exp() differently
  void add(std::string_view text);

  std::uint64_t value() const { return digest_; }

 private:
  std::uint64_t digest_ = 0xCBF29CE484222325ULL;
};

}  // namespace asterdrift::balancer
