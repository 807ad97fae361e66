// Rate limiting by a token bucket.
#pragma once

#include <algorithm>

namespace asterdrift::support {

// A token bucket without a clock: the caller adds the tokens.
class TokenBucket {
 public:
  TokenBucket() = default;
  explicit TokenBucket(double tokens) : tokens_(tokens) {}

  // Adds tokens, up to a balance of `max_tokens`.
  void add(double tokens, double max_tokens) { tokens_ = std::min(max_tokens, tokens_ + tokens); }
  // Takes one token. The balance may become negative.
  void spend() { tokens_ -= 1; }
  // Whether there is at least one token.
  bool has_token() const { return tokens_ >= 1; }

 private:
  double tokens_ = 0;
};

}  // namespace asterdrift::support
