// Deterministic random numbers and hashes, equal on all platforms.
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

  // Uniform over all values.
  std::uint64_t next();
  // Uniform in [0, 1).
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  // Uniform in 0 .. bound - 1.
  std::size_t below(std::size_t bound) {
    return static_cast<std::size_t>(unit() * static_cast<double>(bound));
  }

 private:
  std::uint64_t state_;
};

// FNV-1a, finished by one step of splitmix64.
std::uint64_t hash_text(std::string_view text);

}  // namespace asterdrift::support
