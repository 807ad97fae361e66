// Statistics with exponential decay. Times and time constants are in seconds.
#pragma once

#include <cmath>

namespace asterdrift::support {

// The rate of events, per second.
class DecayingRate {
 public:
  explicit DecayingRate(double time_constant_s) : time_constant_s_(time_constant_s) {}

  // An event has happened.
  void add(double now);
  // The rate at a time.
  double at(double now) const {
    return rate_ == 0 ? 0 : rate_ * std::exp((updated_at_ - now) / time_constant_s_);
  }

 private:
  double time_constant_s_;
  double rate_ = 0;
  double updated_at_ = 0;
};

// Mean and mean deviation that decay with the number of samples. The first samples have a larger gain.
struct SampledEstimate {
  double mean = 0;
  double deviation = 0;
  double samples = 0;

  // min_gain: weight of a sample once there are many.
  void add(double value, double min_gain);
};

// A baseline that follows the mean of samples, down and up at different speeds.
class AsymmetricBaseline {
 public:
  struct Parameters {
    double initial;        // the baseline until it is learned
    double max;            // upper bound of the baseline
    double gain;           // weight of one sample in the mean
    double min_samples;    // number of samples from which the baseline is learned
    double settle_time_s;  // time since the first sample from which the baseline is learned
    double fall_time_s;    // time constant towards a lower mean
    double rise_time_s;    // time constant towards a higher mean
  };

  explicit AsymmetricBaseline(const Parameters& parameters)
      : parameters_(parameters), value_(parameters.initial) {}

  void add(double now, double sample);
  double value() const { return value_; }
  // Whether the value depends on samples yet.
  bool is_learned() const { return is_learned_; }

 private:
  Parameters parameters_;
  SampledEstimate estimate_;
  double value_;
  double updated_at_ = 0;
  bool is_learned_ = false;
};

// A level that changes in steps, and its mean over time.
class DecayingLevel {
 public:
  explicit DecayingLevel(double time_constant_s) : time_constant_s_(time_constant_s) {}

  void change(double now, int step);
  int level() const { return level_; }
  double mean(double now) const;

 private:
  double time_constant_s_;
  double mean_ = 0;
  double updated_at_ = 0;
  int level_ = 0;
};

// Mean that decays with time and, where samples are many, with their number.
class DecayingMean {
 public:
  struct Sum {
    double sum = 0;
    double weight = 0;  // number of samples, decayed
  };

  // max_samples: upper bound of the weight.
  DecayingMean(double time_constant_s, double max_samples)
      : time_constant_s_(time_constant_s), max_samples_(max_samples) {}

  void add(double now, double value);
  // Sum and weight of the samples at a time; the mean is their quotient.
  Sum at(double now) const {
    const double retained = std::exp((updated_at_ - now) / time_constant_s_);
    return {total_.sum * retained, total_.weight * retained};
  }

 private:
  double time_constant_s_;
  double max_samples_;
  double updated_at_ = 0;
  Sum total_;
};

}  // namespace asterdrift::support
