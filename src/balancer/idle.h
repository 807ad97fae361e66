// How long answers take where nobody has to wait.
#pragma once

#include <algorithm>

#include "support.h"

namespace asterdrift::balancer {

constexpr double kStartBase = 0.15;  // of the aim; taken for the usual answer time until it is learned
constexpr double kMostBase = 0.3;    // of the aim; a start under load takes no queue for usual
constexpr double kBaseCalls = 20;    // calls; answers before the usual answer time counts as learned
constexpr double kBaseSettle = 3;    // s; before it the answers are those of the quickest calls only
constexpr double kBaseGain = 0.02;   // weight of one answer
constexpr double kBaseFall = 5;      // s; how fast a quicker tier becomes the usual
constexpr double kBaseRise = 60;     // s; how fast a slower one does: queues must not

// The answer time without queues, as a part of the aim: falls soon, rises slowly. Danger: the first answers
// of a start are those of the quickest calls; a bound learned from them starves the tier.
struct IdleTime {
  support::SampledEstimate usual;
  double base = kStartBase, at = 0;
  bool learned = false;
  void add(double now, double part_of_aim) {
    if (usual.samples == 0) at = now + kBaseSettle;
    usual.add(part_of_aim, kBaseGain);
    if (now < at || usual.samples < kBaseCalls) return;
    if (!learned) base = usual.mean;
    const double step = (now - at) / (usual.mean < base ? kBaseFall : kBaseRise);
    base = std::min(base + (usual.mean - base) * std::min(1.0, step), kMostBase);
    learned = true;
    at = now;
  }
};

}  // namespace asterdrift::balancer
