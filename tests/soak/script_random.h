// Random numbers of a soak run: the same seed and stream result in the same numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace asterdrift::soak {

class ScriptRandom {
 public:
  // stream: selects an independent sequence of random numbers for a part of the run, such as one client.
  ScriptRandom(std::uint64_t seed, std::uint64_t stream) {
    std::seed_seq sequence{seed, seed >> 32U, stream, stream >> 32U};
    generator_.seed(sequence);
  }

  std::size_t below(std::size_t bound) { return static_cast<std::size_t>(generator_() % bound); }
  // A uniformly distributed random number from 0 to below 1.
  double unit() { return static_cast<double>(generator_() >> 11U) * 0x1p-53; }
  double between(double low, double high) { return low + (high - low) * unit(); }
  bool chance(double probability) { return unit() < probability; }

 private:
  std::mt19937_64 generator_;
};

}  // namespace asterdrift::soak
