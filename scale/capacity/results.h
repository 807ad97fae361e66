// The calculated results as texts, by their keys.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace asterdrift::scale::capacity {

// Each key can be added only once.
class Results {
 public:
  // Throws DuplicateKeyError if the key has been added before.
  void add(const std::string& key, const std::string& text);

  // The keys in the order in which they were added, which is the order in which results are printed.
  const std::vector<std::string>& keys() const { return keys_; }

  // The text of a result; null if there is no result with this key.
  const std::string* find(const std::string& key) const;

 private:
  std::map<std::string, std::string> texts_;
  std::vector<std::string> keys_;
};

}  // namespace asterdrift::scale::capacity
