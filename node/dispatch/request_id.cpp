// Converts request ids to text and back.
#include "node/dispatch/request_id.h"

#include <charconv>
#include <system_error>

namespace asterdrift::node::dispatch {

std::string to_text(RequestId id) { return std::to_string(static_cast<std::uint64_t>(id)); }

std::optional<RequestId> parse_request_id(std::string_view text) {
  std::uint64_t value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc() || end != text_end) return std::nullopt;
  return RequestId{value};
}

}  // namespace asterdrift::node::dispatch
