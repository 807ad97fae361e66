// Quantiles of samples.
#pragma once

#include <vector>

namespace asterdrift::scale {

// The smallest sample that at least this fraction of the samples do not exceed; 0 if there are no samples.
// `sorted` has the samples in ascending order.
double quantile(const std::vector<double>& sorted, double fraction);

// The quantile at the fraction 0.5; 0 if there are no samples.
double median(std::vector<double> samples);

}  // namespace asterdrift::scale
