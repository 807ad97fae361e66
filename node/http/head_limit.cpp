// Counts the bytes and lines of a head.
#include "node/http/head_limit.h"

#include <algorithm>

namespace asterdrift::node::http {
namespace {

std::size_t count_lines(std::string_view text) {
  return static_cast<std::size_t>(std::ranges::count(text, '\n'));
}

// The bytes of the head that are not parsed yet, up to the end of its last field.
std::string_view unparsed_head(std::string_view bytes, bool has_parsed_line) {
  constexpr std::string_view kLineEnd = "\r\n", kHeadEnd = "\r\n\r\n";
  if (has_parsed_line && bytes.starts_with(kLineEnd)) return {};
  const std::size_t end = bytes.find(kHeadEnd);
  return end == std::string_view::npos ? bytes : bytes.substr(0, end + kLineEnd.size());
}

}  // namespace

bool HeadLimit::has_too_many_fields(std::string_view bytes) const {
  constexpr std::size_t kStartLines = 1;
  const std::size_t lines = parsed_lines_ + count_lines(unparsed_head(bytes, parsed_lines_ > 0));
  return lines > kStartLines + kMaxHeaderFields;
}

void HeadLimit::add_parsed(std::string_view bytes) {
  parsed_bytes_ += bytes.size();
  parsed_lines_ += count_lines(bytes);
}

}  // namespace asterdrift::node::http
