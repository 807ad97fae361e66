// Statistics that forget exponentially. Times and time constants are in seconds.
#pragma once

#include <cmath>

namespace asterdrift::support {

// Events per second.
class DecayingRate {
 public:
  explicit DecayingRate(double time_constant_s) : time_constant_s_(time_constant_s) {}

  void add(double now);
  double at(double now) const {
    return rate_ == 0 ? 0 : rate_ * std::exp((updated_at_ - now) / time_constant_s_);
  }

 private:
  double time_constant_s_;
  double rate_ = 0;
  double updated_at_ = 0;
};

// Mean and mean deviation by count of samples; the first samples have a larger gain.
struct SampledEstimate {
  double mean = 0;
  double deviation = 0;
  double samples = 0;

  void add(double value, double least_gain);
};

// A baseline that follows the mean of samples at different speeds down and up.
class AsymmetricBaseline {
 public:
  struct Parameters {
    double initial;        // assumed until the baseline is learned
    double max;            // the baseline never exceeds it
    double gain;           // weight of one sample in the mean
    double min_samples;    // before the baseline counts as learned
    double settle_time_s;  // from the first sample, before the baseline counts as learned
    double fall_time_s;    // how fast the baseline follows a lower mean
    double rise_time_s;    // and a higher one
  };

  explicit AsymmetricBaseline(const Parameters& parameters)
      : parameters_(parameters), value_(parameters.initial) {}

  void add(double now, double sample);
  double value() const { return value_; }
  bool is_learned() const { return is_learned_; }

 private:
  Parameters parameters_;
  SampledEstimate estimate_;
  double value_;
  double updated_at_ = 0;
  bool is_learned_ = false;
};

// A level that goes up and down, and its mean over time.
class DecayingLevel {
 public:
  explicit DecayingLevel(double time_constant_s) : time_constant_s_(time_constant_s) {}

  void change(double now, int by);
  int level() const { return level_; }
  double mean(double now) const;

 private:
  double time_constant_s_;
  double mean_ = 0;
  double updated_at_ = 0;
  int level_ = 0;
};

// Mean that forgets by time, and by count where samples are many.
class DecayingMean {
 public:
  struct Sum {
    double sum = 0;
    double weight = 0;  // samples that count
  };

  // most_samples: the weight never exceeds it.
  DecayingMean(double time_constant_s, double most_samples)
      : time_constant_s_(time_constant_s), most_samples_(most_samples) {}

  void add(double now, double value);
  Sum at(double now) const {
    const double kept = std::exp((updated_at_ - now) / time_constant_s_);
    return {total_.sum * kept, total_.weight * kept};
  }

 private:
  double time_constant_s_;
  double most_samples_;
  double updated_at_ = 0;
  Sum total_;
};

}  // namespace asterdrift::support
