// Reproducible random numbers for generated events.
#pragma once

#include <cstddef>
#include <cstdint>

namespace asterdrift::balancer {

// Knuth's 64-bit linear congruential generator (MMIX). The same seed gives the same numbers.
class LinearCongruentialRandom {
 public:
  explicit LinearCongruentialRandom(std::uint64_t seed) : state_(seed) {}

  std::uint64_t next_state() {
    state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return state_;
  }
  std::uint64_t next() { return next_state() >> 33; }  // low bits of the state are not random enough
  std::size_t below(std::size_t bound) { return static_cast<std::size_t>(next() % bound); }
  double unit() { return static_cast<double>(below(1 << 20)) / (1 << 20); }  // random number in [0, 1)

 private:
  std::uint64_t state_;
};

}  // namespace asterdrift::balancer
