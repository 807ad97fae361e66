// The Markdown page of results, in which each result is marked as <!--=key-->text<!--/-->.
#pragma once

#include <string>
#include <vector>

#include "scale/capacity/results.h"

namespace asterdrift::scale::capacity {

// A result whose text on the page differs from the calculated one.
struct StaleResult {
  std::string key;
  std::string shown;    // text of the result on the page
  std::string current;  // text of the result as calculated
};

// The text of the page and the path of its file.
class Page {
 public:
  // Reads the page. Throws std::system_error if the file cannot be read.
  explicit Page(const std::string& path);

  // Replaces the results in the page's text with the current ones, and returns those that differed. Throws
  // PageError if a result has no end mark or an unknown key.
  std::vector<StaleResult> update(const Results& results);

  // Writes the page to its file. Throws std::system_error if that fails.
  void write() const;

 private:
  std::string path_;
  std::string text_;
};

}  // namespace asterdrift::scale::capacity
