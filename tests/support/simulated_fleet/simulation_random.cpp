#include "support/simulated_fleet/simulation_random.h"

#include <cmath>
#include <numbers>

namespace asterdrift::balancer {

double SimulationRandom::unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

double SimulationRandom::exponential(double mean) { return -mean * std::log(1 - unit()); }

double SimulationRandom::normal() {
  const double radius = std::sqrt(-2 * std::log(1 - unit()));
  return radius * std::cos(2 * std::numbers::pi * unit());
}

double SimulationRandom::lognormal(double coefficient_of_variation) {
  const double log_variance = std::log(1 + coefficient_of_variation * coefficient_of_variation);
  return std::exp(std::sqrt(log_variance) * normal() - log_variance / 2);
}

}  // namespace asterdrift::balancer
