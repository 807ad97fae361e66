// The page of results: each stands as <!--=key-->text<!--/-->.
#pragma once

#include <string>
#include <vector>

#include "scale/capacity/results.h"

namespace asterdrift::scale::capacity {

// A result that the page shows with another text than the current one.
struct StaleResult {
  std::string key;
  std::string shown;    // on the page
  std::string current;  // as calculated
};

// The text of the page, and the file that it came from.
class Page {
 public:
  // Throws std::system_error where the file cannot be read.
  explicit Page(const std::string& path);

  // Puts the current results into the page. Returns those that were others before. Throws PageError.
  std::vector<StaleResult> update(const Results& results);

  // Writes the page back to its file; throws std::system_error.
  void write() const;

 private:
  std::string path_;
  std::string text_;
};

}  // namespace asterdrift::scale::capacity
