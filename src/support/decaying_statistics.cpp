// Updates of the statistics with exponential decay.
#include "support/decaying_statistics.h"

#include <algorithm>
#include <cmath>

namespace asterdrift::support {

void DecayingRate::add(Seconds now) {
  rate_ = at(now) + 1 / time_constant_;
  updated_at_ = now;
}

void SampledEstimate::add(double value, double min_gain) {
  samples += 1;
  const double gain = std::max(min_gain, 1 / (samples + 1));
  deviation += gain * (std::abs(value - mean) - deviation);
  mean += gain * (value - mean);
}

void AsymmetricBaseline::add(Seconds now, double sample) {
  if (estimate_.samples == 0) updated_at_ = now + parameters_.settle_time;
  estimate_.add(sample, parameters_.gain);
  if (now < updated_at_ || estimate_.samples < parameters_.min_samples) return;
  if (!is_learned_) value_ = estimate_.mean;
  const bool falls = estimate_.mean < value_;
  const double step = (now - updated_at_) / (falls ? parameters_.fall_time : parameters_.rise_time);
  value_ = std::min(value_ + (estimate_.mean - value_) * std::min(1.0, step), parameters_.max);
  is_learned_ = true;
  updated_at_ = now;
}

void DecayingLevel::change(Seconds now, int step) {
  mean_ = mean(now);
  updated_at_ = now;
  level_ += step;
}

double DecayingLevel::mean(Seconds now) const {
  return level_ + (mean_ - level_) * std::exp((updated_at_ - now) / time_constant_);
}

void DecayingMean::add(Seconds now, double value) {
  const WeightedSum previous = at(now);
  const double retained = previous.weight > max_samples_ - 1 ? (max_samples_ - 1) / previous.weight : 1;
  total_ = {previous.sum * retained + value, previous.weight * retained + 1};
  updated_at_ = now;
}

}  // namespace asterdrift::support
