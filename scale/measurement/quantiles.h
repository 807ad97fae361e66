// Quantiles of samples.
#pragma once

#include <vector>

namespace asterdrift::scale {

// The smallest sample that at least this fraction of them do not exceed. `sorted` is in ascending order; 0
// where it is empty.
double quantile(const std::vector<double>& sorted, double fraction);

double median(std::vector<double> samples);

}  // namespace asterdrift::scale
