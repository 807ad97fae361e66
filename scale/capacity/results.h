// The results that the page shows, by their keys, in the order in which they are printed.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace asterdrift::scale::capacity {

// Each key is added once.
class Results {
 public:
  // Throws DuplicateKeyError.
  void add(const std::string& key, const std::string& text);

  // In the order in which they were added.
  const std::vector<std::string>& keys() const { return keys_; }

  // Null where there is no such result.
  const std::string* find(const std::string& key) const;

 private:
  std::map<std::string, std::string> texts_;
  std::vector<std::string> keys_;
};

}  // namespace asterdrift::scale::capacity
