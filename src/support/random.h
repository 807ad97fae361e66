// Deterministic random numbers and hashes, which are equal on all platforms.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace asterdrift::support {

// Random numbers by splitmix64 (Steele, Lea and Flood 2014). The mapping to ranges is defined here, since the
// standard library's distributions differ between platforms.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // A uniform random number among all 64-bit values.
  std::uint64_t next();
  // A uniform random number in [0, 1).
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  // A uniform random integer from 0 to bound - 1.
  std::size_t below(std::size_t bound) {
    return static_cast<std::size_t>(unit() * static_cast<double>(bound));
  }

 private:
  std::uint64_t state_;
};

// The FNV-1a hash of a text, mixed by one step of splitmix64.
std::uint64_t hash_text(std::string_view text);

}  // namespace asterdrift::support
