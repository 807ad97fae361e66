// How much a server that has just started is sent, so that all copies together do not push it over.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

#include "asterdrift/balancer/balancer.h"

namespace asterdrift::balancer {

constexpr double kColdBudget = 0.5;  // of overload_multiple x sure capacity: copies, sizes and chance differ
constexpr double kColdTrust = 2;     // of that budget; what quick answers add to it at most
constexpr double kColdCarried =
    0.75;  // of overload_multiple x sure capacity; of what is answered, trusted or not
constexpr double kColdSaved = 0.25;  // of overload_window; what a copy may save up beyond one call

// The part of its full capacity that a server is sure to have by now.
inline double warmth(const Endpoint& told, const Settings& settings, double now) {
  if (told.started_at == 0 || settings.slow_start_duration <= 0) return 1;
  const double age = std::max(0.0, now - told.started_at);
  return std::min(1.0, settings.slow_start_capacity +
                           (1 - settings.slow_start_capacity) * age / settings.slow_start_duration);
}

// The part of a warm server's calls that a cold one may have. One that answers a copy as quickly as the
// others do may have more: work warms a server up sooner than the sure time, and what is held to that time
// stands idle beside crowded ones.
inline double cold_part(const Settings& settings, double warm, double against_idle, double known) {
  const double well = std::clamp(2 - against_idle, 0.0, 1.0) * known;
  return std::min(1.0, warm * settings.overload_multiple * kColdBudget * (1 + kColdTrust * well));
}

// The most that it may have of what is answered: the rest is left to chance.
inline double cold_most(const Settings& settings, double warm) {
  return std::min(1.0, warm * settings.overload_multiple * kColdCarried);
}

// What a copy's servers would answer, were all of them warm and well, for each call that they answer now.
struct WholeTier {
  double all = 0, sure = 0, well = 0, at = -std::numeric_limits<double>::infinity();
  bool any_warm = false;

  // Cold ones answer too, and count by what they are sure to have.
  void add(double weight, double warm, bool is_well) {
    all += weight;
    sure += weight * warm;
    if (warm < 1 || is_well) well += weight * warm;
    any_warm = any_warm || warm >= 1;
  }
  // Where none is warm, the answers of those that are cold tell nothing.
  double per_answer() const {
    return any_warm ? all / (well > 0 ? well : sure) : std::numeric_limits<double>::infinity();
  }
};

// The calls that one copy may send to one cold server: in proportion to the calls that come to the copy, and
// to those that it sees answered. Danger: in a burst, past tier 0 and where more copies run than told, more
// calls come than the tier bears, and what that is shows in its answers alone. They are counted, since a rate
// that fades between the calls of a copy with few of them would leave cold servers idle.
struct ColdTokens {
  double held = 0, earned = 0, at = 0;
  std::uint64_t seen = 0;  // answers

  bool refill(double now, double per_s, std::uint64_t answers, double per_answer, double overload_window) {
    const double gain = static_cast<double>(answers - seen) * per_answer;
    const double most = 1 + per_s * overload_window * kColdSaved;
    held = std::min(most, held + (now - at) * per_s);
    earned = std::isinf(per_answer) ? most : std::min(most, earned + gain);
    at = now;
    seen = answers;
    return held >= 1 && earned >= 1;
  }
  void spend() {
    held -= 1;
    earned -= 1;
  }
};

}  // namespace asterdrift::balancer
