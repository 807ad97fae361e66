// The calculated results as texts, by their keys.
#include "scale/capacity/results.h"

#include "scale/capacity/errors.h"

namespace asterdrift::scale::capacity {

void Results::add(const std::string& key, const std::string& text) {
  if (!texts_.emplace(key, text).second) throw DuplicateKeyError(key);
  keys_.push_back(key);
}

const std::string* Results::find(const std::string& key) const {
  const auto found = texts_.find(key);
  return found == texts_.end() ? nullptr : &found->second;
}

}  // namespace asterdrift::scale::capacity
