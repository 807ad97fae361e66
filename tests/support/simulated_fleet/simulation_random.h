// Random numbers of a simulation: the same seed gives the same numbers.
#pragma once

#include <cstdint>
#include <random>

namespace asterdrift::balancer {

class SimulationRandom {
 public:
  explicit SimulationRandom(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t next() { return engine_(); }
  double unit();                       // uniform, from 0 to below 1
  double exponential(double mean);     // exponentially distributed
  double lognormal(double variation);  // log-normally distributed around 1; variation: deviation over mean

 private:
  double normal();

  std::mt19937_64 engine_;
};

}  // namespace asterdrift::balancer
