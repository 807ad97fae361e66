// Rate limiting by tokens.
#pragma once

#include <algorithm>

namespace asterdrift::support {

// A token bucket. It has no clock: the caller adds tokens.
class TokenBucket {
 public:
  TokenBucket() = default;
  explicit TokenBucket(double tokens) : tokens_(tokens) {}

  // Adds tokens, up to `max_tokens` in total.
  void add(double tokens, double max_tokens) { tokens_ = std::min(max_tokens, tokens_ + tokens); }
  // Takes one token, even if there is none.
  void spend() { tokens_ -= 1; }
  // Whether there is at least one token.
  bool has_one() const { return tokens_ >= 1; }

 private:
  double tokens_ = 0;
};

}  // namespace asterdrift::support
