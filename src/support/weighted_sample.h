// Random choice in proportion to weights.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "support/random.h"

namespace asterdrift::support {

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

  // Draws one candidate; there has to be one.
  const Candidate& draw(Random& random) const {
    double rest = random.unit() * total_weight_;
    std::size_t i = 0;
    while (i + 1 < candidates_.size() && (rest -= candidates_[i].weight) >= 0) ++i;
    return candidates_[i];
  }

 private:
  std::vector<Candidate> candidates_;
  double total_weight_ = 0;
};

}  // namespace asterdrift::support
