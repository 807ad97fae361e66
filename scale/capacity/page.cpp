// The Markdown page of results, in which each result is marked as <!--=key-->text<!--/-->.
#include "scale/capacity/page.h"

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <fstream>
#include <iterator>
#include <system_error>

#include "scale/capacity/errors.h"

namespace asterdrift::scale::capacity {
namespace {

const std::string kKeyBegin = "<!--=";
const std::string kKeyEnd = "-->";
const std::string kResultEnd = "<!--/-->";

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::system_error(errno, std::generic_category(), "cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// The number of the line that contains a position; the first line is 1.
std::size_t line_number(const std::string& text, std::size_t position) {
  const auto end = text.begin() + static_cast<std::ptrdiff_t>(position);
  return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

}  // namespace

Page::Page(const std::string& path) : path_(path), text_(read_file(path)) {}

std::vector<StaleResult> Page::update(const Results& results) {
  std::vector<StaleResult> stale;
  std::string updated;
  std::size_t copied = 0;
  for (std::size_t begin; (begin = text_.find(kKeyBegin, copied)) != std::string::npos;) {
    const std::size_t key_begin = begin + kKeyBegin.size();
    const std::size_t key_end = text_.find(kKeyEnd, key_begin);
    const std::size_t end =
        key_end == std::string::npos ? std::string::npos : text_.find(kResultEnd, key_end);
    if (end == std::string::npos)
      throw PageError(path_, line_number(text_, begin), "a result without an end");
    const std::string key = text_.substr(key_begin, key_end - key_begin);
    const std::size_t shown_begin = key_end + kKeyEnd.size();
    const std::string shown = text_.substr(shown_begin, end - shown_begin);
    const std::string* current = results.find(key);
    if (current == nullptr) throw PageError(path_, line_number(text_, begin), "unknown result '" + key + "'");
    if (shown != *current) stale.push_back({key, shown, *current});
    updated += text_.substr(copied, shown_begin - copied) + *current + kResultEnd;
    copied = end + kResultEnd.size();
  }
  text_ = updated + text_.substr(copied);
  return stale;
}

void Page::write() const {
  std::ofstream file(path_, std::ios::binary);
  file << text_ << std::flush;
  if (!file) throw std::system_error(errno, std::generic_category(), "cannot write " + path_);
}

}  // namespace asterdrift::scale::capacity
