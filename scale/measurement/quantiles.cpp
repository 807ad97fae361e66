// Quantiles of samples.
#include "scale/measurement/quantiles.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace asterdrift::scale {

double quantile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

double median(std::vector<double> samples) {
  std::sort(samples.begin(), samples.end());
  return quantile(samples, 0.5);
}

}  // namespace asterdrift::scale
