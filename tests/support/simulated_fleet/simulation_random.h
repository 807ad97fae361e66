// Reproducible random numbers for simulations.
#pragma once

#include <cstdint>
#include <random>

namespace asterdrift::balancer {

// Random numbers of a simulation. The same seed gives the same numbers.
class SimulationRandom {
 public:
  explicit SimulationRandom(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t next() { return engine_(); }
  // Uniform in [0, 1).
  double unit();
  double exponential(double mean);
  // Log-normally distributed with a mean of 1. The coefficient is the standard deviation over the mean.
  double lognormal(double coefficient_of_variation);

 private:
  double normal();

  std::mt19937_64 engine_;
};

}  // namespace asterdrift::balancer
