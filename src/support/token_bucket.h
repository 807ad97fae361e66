// A token bucket.
#pragma once

#include <algorithm>

namespace asterdrift::support {

class TokenBucket {
 public:
  TokenBucket() = default;
  explicit TokenBucket(double tokens) : tokens_(tokens) {}

  // Adds tokens, up to `most` in all.
  void add(double tokens, double most) { tokens_ = std::min(most, tokens_ + tokens); }
  void spend() { tokens_ -= 1; }
  bool has_one() const { return tokens_ >= 1; }

 private:
  double tokens_ = 0;
};

}  // namespace asterdrift::support
