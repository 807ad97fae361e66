// Limits the size and the number of header fields of a message's head.
#pragma once

#include <cstddef>
#include <string_view>

namespace asterdrift::node::http {

// Each field takes some 80 bytes beside its text once it is parsed, so that a head of many short fields would
// take a multiple of its size.
constexpr std::size_t kMaxHeaderFields = 100;

// Counts the parsed bytes and lines of one head. Beast's own limit does not count lines that are complete.
class HeadLimit {
 public:
  explicit HeadLimit(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Whether the head has too many fields if the next bytes of the message are `bytes`, which may go beyond
  // the head. To be called before the bytes are parsed.
  bool has_too_many_fields(std::string_view bytes) const;
  // To be called after bytes of the head have been parsed.
  void add_parsed(std::string_view bytes);
  bool is_too_long() const { return parsed_bytes_ > max_bytes_; }

 private:
  std::size_t max_bytes_;
  std::size_t parsed_bytes_ = 0;
  std::size_t parsed_lines_ = 0;
};

}  // namespace asterdrift::node::http
