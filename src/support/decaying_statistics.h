// Statistics with exponential decay.
#pragma once

#include <cmath>

#include "asterdrift/seconds.h"

namespace asterdrift::support {

// The rate of events, in events per second.
class DecayingRate {
 public:
  explicit DecayingRate(Seconds time_constant) : time_constant_(time_constant) {}

  // Counts an event.
  void add(Seconds now);
  // The rate at the given time.
  double at(Seconds now) const {
    return rate_ == 0 ? 0 : rate_ * std::exp((updated_at_ - now) / time_constant_);
  }

 private:
  Seconds time_constant_;
  double rate_ = 0;
  Seconds updated_at_ = 0;
};

// Mean and mean absolute deviation of samples. Older samples lose weight with each new sample. The first
// samples have a larger gain.
struct SampledEstimate {
  double mean = 0;
  double deviation = 0;
  double samples = 0;

  // `min_gain` is the weight of a new sample once there are many samples.
  void add(double value, double min_gain);
};

// A baseline that follows the mean of the samples down and up at different speeds.
class AsymmetricBaseline {
 public:
  struct Parameters {
    double initial;       // the baseline until it is learned
    double max;           // upper bound of the baseline
    double gain;          // weight of one sample in the mean
    double min_samples;   // number of samples from which the baseline is learned
    Seconds settle_time;  // time since the first sample from which the baseline is learned
    Seconds fall_time;    // time constant of the approach to a lower mean
    Seconds rise_time;    // time constant of the approach to a higher mean
  };

  explicit AsymmetricBaseline(const Parameters& parameters)
      : parameters_(parameters), value_(parameters.initial) {}

  void add(Seconds now, double sample);
  double value() const { return value_; }
  // Whether the value already depends on samples.
  bool is_learned() const { return is_learned_; }

 private:
  Parameters parameters_;
  SampledEstimate estimate_;
  double value_;
  Seconds updated_at_ = 0;
  bool is_learned_ = false;
};

// A level that changes in steps, and the mean of the level over time, with exponential decay.
class DecayingLevel {
 public:
  explicit DecayingLevel(Seconds time_constant) : time_constant_(time_constant) {}

  void change(Seconds now, int step);
  int level() const { return level_; }
  double mean(Seconds now) const;

 private:
  Seconds time_constant_;
  double mean_ = 0;
  Seconds updated_at_ = 0;
  int level_ = 0;
};

// Mean of samples that lose weight with time and, if there are many samples, with each new sample.
class DecayingMean {
 public:
  struct WeightedSum {
    double sum = 0;     // sum of the samples, each multiplied by its weight
    double weight = 0;  // sum of the weights, that is, the decayed number of samples
  };

  // `max_samples` is the upper bound of the sum of the weights.
  DecayingMean(Seconds time_constant, double max_samples)
      : time_constant_(time_constant), max_samples_(max_samples) {}

  void add(Seconds now, double value);
  // Sum and weight of the samples at the given time. The mean is the quotient of the two.
  WeightedSum at(Seconds now) const {
    const double retained = std::exp((updated_at_ - now) / time_constant_);
    return {total_.sum * retained, total_.weight * retained};
  }

 private:
  Seconds time_constant_;
  double max_samples_;
  Seconds updated_at_ = 0;
  WeightedSum total_;
};

}  // namespace asterdrift::support
