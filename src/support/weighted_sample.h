// Random selection with probabilities in proportion to weights.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "support/random.h"

namespace asterdrift::support {

// A set of candidates with weights, from which candidates are drawn at random.
template <class Item>
class WeightedSample {
 public:
  struct Candidate {
    Item item;
    double weight;
  };

  void clear() {
    candidates_.clear();
    total_weight_ = 0;
  }
  void add(Item item, double weight) {
    candidates_.push_back({std::move(item), weight});
    total_weight_ += weight;
  }
  bool empty() const { return candidates_.empty(); }
  std::size_t size() const { return candidates_.size(); }

  // Draws one candidate, which stays in the set. The set must not be empty.
  const Candidate& draw(Random& random) const {
    double rest = random.unit() * total_weight_;
    for (std::size_t i = 0; i + 1 < candidates_.size(); ++i) {
      rest -= candidates_[i].weight;
      if (!(rest >= 0)) return candidates_[i];
    }
    return candidates_.back();
  }

 private:
  std::vector<Candidate> candidates_;
  double total_weight_ = 0;
};

}  // namespace asterdrift::support
