#include "node/config/endpoint_list_reader.h"

#include <algorithm>
#include <array>
#include <utility>

#include "json/fields.h"

namespace asterdrift::node::config {
namespace {

// Limits the buffered text of one entry, and that of all fields except the entries.
constexpr std::size_t kMaxBufferedTextBytes = 256UL * 1024;
// The size of an entry parser's buffer, which is on the stack. Enough for typical entries.
constexpr std::size_t kEntryParserBufferBytes = 4096;

// The number of open brackets between the list's fields, between its entries, and inside an entry.
constexpr std::size_t kListDepth = 1, kEntriesDepth = 2, kEntryDepth = 3;

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

}  // namespace

EndpointListReader::Progress EndpointListReader::feed(std::string_view bytes) {
  for (std::size_t position = 0; position < bytes.size(); ++position) {
    if (in_string_ && !escaped_) {  // skips to the next character that is special in a string
      const std::size_t end = std::min(bytes.find_first_of("\"\\\n", position), bytes.size());
      buffer(bytes.substr(position, end - position));
      position = end;
      if (position == bytes.size()) break;
    }
    const Event event = read_character(bytes[position]);
    if (event != Event::kNone) return {event, position + 1};
  }
  return {Event::kNone, bytes.size()};
}

EndpointList EndpointListReader::take_list() { return std::exchange(list_, {}); }

bool EndpointListReader::is_between_entries() const {
  return is_inside_hosts_ && closing_brackets_.size() == kEntriesDepth;
}

std::string& EndpointListReader::current_buffer() {
  return is_inside_hosts_ && closing_brackets_.size() >= kEntryDepth ? entry_ : fields_;
}

EndpointListReader::Event EndpointListReader::read_character(char c) {
  if (in_string_) {
    read_in_string(c);
    return Event::kNone;
  }
  if (c == '\n' && !is_inside_list()) return Event::kEmptyLine;
  if (is_space(c)) {
    if (is_inside_list() && !is_between_entries()) buffer(' ');
    return Event::kNone;
  }
  if (!is_inside_list() && c != '{') throw EndpointListError("endpoint list does not begin with '{'");
  if (is_between_entries()) {
    read_between_entries(c);
    if (c == ',') return Event::kNone;
  }
  if (c == '{' || c == '[') {
    open_bracket(c);
    return Event::kNone;
  }
  if (c == '}' || c == ']') return close_bracket(c);
  if (closing_brackets_.size() == kListDepth) read_between_fields(c);
  in_string_ = c == '"';
  buffer(c);
  return Event::kNone;
}

// Detects the key "hosts", whose value is the array of entries.
void EndpointListReader::read_between_fields(char c) {
  if (c == '"') last_string_position_ = fields_.size();
  if (c == ':') next_value_is_hosts_ = last_key_is_hosts();
  if (c == ',') next_value_is_hosts_ = false;
}

void EndpointListReader::read_in_string(char c) {
  if (c == '\n') throw EndpointListError("line break inside a JSON string of the endpoint list");
  in_string_ = escaped_ || c != '"';
  escaped_ = !escaped_ && c == '\\';
  buffer(c);
}

// The separators of entries are not buffered, so the JSON parser does not see them: they are checked here.
void EndpointListReader::read_between_entries(char c) {
  const bool is_valid = c == ',' ? after_entry_ : c == '{' ? !after_entry_ : c == ']' && !after_comma_;
  if (!is_valid) throw EndpointListError("field 'hosts' is not an array of objects");
  after_comma_ = c == ',';
  after_entry_ = false;
}

void EndpointListReader::open_bracket(char c) {
  if (c == '[' && closing_brackets_.size() == kListDepth && next_value_is_hosts_ && !hosts_seen_) {
    is_inside_hosts_ = hosts_seen_ = true;
    after_entry_ = after_comma_ = false;
  }
  closing_brackets_ += c == '{' ? '}' : ']';
  buffer(c);
}

EndpointListReader::Event EndpointListReader::close_bracket(char c) {
  if (closing_brackets_.back() != c) throw EndpointListError("brackets of the endpoint list do not match");
  buffer(c);
  closing_brackets_.pop_back();
  if (is_between_entries()) parse_entry();
  if (closing_brackets_.size() < kEntriesDepth) is_inside_hosts_ = false;
  if (is_inside_list()) return Event::kNone;
  finish_list();
  return Event::kList;
}

// Reduces consecutive spaces to one, except in strings.
void EndpointListReader::buffer(char c) {
  const std::string& target = current_buffer();
  if (c == ' ' && !in_string_ && !target.empty() && target.back() == ' ') return;
  buffer(std::string_view(&c, 1));
}

void EndpointListReader::buffer(std::string_view text) {
  std::string& target = current_buffer();
  if (target.size() + text.size() > kMaxBufferedTextBytes) {
    throw EndpointListError(
        "an entry of the endpoint list, or the text of its other fields, exceeds 256 KiB");
  }
  target += text;
}

bool EndpointListReader::last_key_is_hosts() const {
  const std::string_view key = std::string_view(fields_).substr(last_string_position_);
  if (key.find('\\') == std::string_view::npos) return key.starts_with("\"hosts\"");
  rapidjson::Document unescaped;
  unescaped.Parse<rapidjson::kParseStopWhenDoneFlag>(key.data(), key.size());
  return !unescaped.HasParseError() && unescaped.IsString() && unescaped == "hosts";
}

void EndpointListReader::parse_entry() {
  if (list_.endpoints.size() >= max_endpoints_) {
    throw EndpointListError("endpoint list too large for the node's memory (limits.memory_mb): more than " +
                            std::to_string(max_endpoints_) + " endpoints");
  }
  std::array<char, kEntryParserBufferBytes> memory;
  rapidjson::MemoryPoolAllocator<> allocator(memory.data(), memory.size());
  rapidjson::Document entry(&allocator);
  try {
    json::parse(entry_, entry);
    list_.endpoints.push_back(parse_listed_endpoint(entry, zones_));
  } catch (const json::FormatError& error) {
    throw EndpointListError(error.what());
  }
  entry_.clear();
  after_entry_ = true;
}

void EndpointListReader::finish_list() {
  try {
    const rapidjson::Document fields = json::parse(fields_);
    list_.version = json::unsigned_integer(fields, "seq");
    list_.is_snapshot = json::flag(fields, "whole");
    json::array(fields, "hosts");
  } catch (const json::FormatError& error) {
    throw EndpointListError(error.what());
  }
  fields_.clear();
  next_value_is_hosts_ = hosts_seen_ = false;
}

}  // namespace asterdrift::node::config
