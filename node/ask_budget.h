// What asking discovery may cost a node: one budget for all that came and was of no use, and growing waits
// after what could not be taken. Calls that bring nothing (refused, silent) cost nothing here and stay quick.
// The 6 s after which a change counts as told go before the budget: only what can't be taken, where asking
// again brings no news, is put off for longer.
#pragma once

#include <algorithm>
#include <cstddef>

namespace asterdrift::node {

class AskBudget {
 public:
  static constexpr double kBytesPerSecond = 29'000;    // for control, in the long run
  static constexpr double kBurst = 8.0 * 1024 * 1024;  // bytes; whole lists of 27,000 servers: two of 4 MB
  static constexpr double kFirstWait = 0.25;           // s, after what could not be taken; then doubled
  // Lists may be whole again at any moment, so that this and a call that hangs stay under the 6 s after which
  // a change counts as told. What costs more in the long run is held back by the bytes.
  static constexpr double kMostWait = 3;  // s

  enum class Reason {
    kCut,       // the call failed or broke amid a list
    kRepeated,  // a whole list that says again what is known
    kSpoilt     // no list that can be taken
  };

  // So many bytes have come and were of no use. `unit` (0 to 1) keeps nodes from coming back in step.
  void lost(double now, std::size_t bytes, double unit, Reason why) {
    left_ = std::min(kBurst, left_ + (now - at_) * kBytesPerSecond) - static_cast<double>(bytes);
    at_ = now;
    if (!spent()) return;
    const double wait = -left_ / kBytesPerSecond * (1 + unit / 2);
    put_off(now + (why == Reason::kSpoilt ? wait : std::min(wait, kMostWait * (0.5 + unit / 2))));
  }

  // Whether more has been lost than the budget holds.
  bool spent() const { return left_ < 0; }

  // A list came that can't be taken.
  void not_taken(double now, double unit) {
    wait_ = std::min(std::max(wait_ * 2, kFirstWait), kMostWait);
    put_off(now + wait_ * (0.5 + unit / 2));
  }

  void taken() { wait_ = 0; }

  // How long the next call has to wait; 0: not at all.
  double wait(double now) const { return std::max(0.0, not_before_ - now); }

  // Somebody has told the node to ask elsewhere, at once. What has been lost stays lost.
  void restart() {
    wait_ = 0;
    not_before_ = 0;
  }

 private:
  void put_off(double until) { not_before_ = std::max(not_before_, until); }

  double left_ = kBurst, at_ = 0;  // bytes, and when that was so
  double wait_ = 0, not_before_ = 0;
};

}  // namespace asterdrift::node
